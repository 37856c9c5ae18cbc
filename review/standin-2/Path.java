import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The path of one process to one member: a proxy that can refuse connections and reset the open ones. */
final class Path {
    private final int target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;

    Path(String address) throws IOException {
        target = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        listen(0);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Refuses connections and resets the open ones until [heal]. */
    void cut() throws IOException {
        listener.close();
        for (Socket socket : open) {
            try {
                socket.setSoLinger(true, 0);
            } catch (SocketException ended) {
                // Its process has closed it meanwhile.
            }
            Record.close(socket);
        }
    }

    void heal() throws IOException {
        listen(listener.getLocalPort());
    }

    private void listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        listener = socket;
        Record.daemon(() -> accept(socket));
    }

    private void accept(ServerSocket server) {
        while (true) {
            try {
                Socket client = server.accept();
                Socket member = new Socket();
                open.add(client);
                open.add(member);
                try {
                    member.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), target), 2_000);
                } catch (IOException refused) {
                    client.setSoLinger(true, 0);
                    close(client, member);
                    continue;
                }
                client.setTcpNoDelay(true);
                member.setTcpNoDelay(true);
                Record.daemon(() -> copy(client, member));
                Record.daemon(() -> copy(member, client));
            } catch (IOException closed) {
                if (server.isClosed()) return;
            }
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int length;
            while ((length = input.read(buffer)) >= 0) output.write(buffer, 0, length);
        } catch (IOException ended) {
            // The other direction ends with this one.
        } finally {
            close(from, to);
        }
    }

    private void close(Socket one, Socket other) {
        Record.close(one);
        Record.close(other);
        open.remove(one);
        open.remove(other);
    }
}

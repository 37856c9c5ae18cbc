import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {
    private final String text;
    private int index;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json reader = new Json(text);
        return reader.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    private void skip() {
        while (index < text.length() && (Character.isWhitespace(text.charAt(index)) || text.charAt(index) == ','
            || text.charAt(index) == ':')) index++;
    }

    private Object value() {
        skip();
        char first = text.charAt(index);
        if (first == '{') {
            index++;
            Map<String, Object> result = new LinkedHashMap<>();
            for (skip(); text.charAt(index) != '}'; skip()) {
                String name = string();
                result.put(name, value());
            }
            index++;
            return result;
        }
        if (first == '[') {
            index++;
            List<Object> result = new ArrayList<>();
            for (skip(); text.charAt(index) != ']'; skip()) result.add(value());
            index++;
            return result;
        }
        if (first == '"') return string();
        int start = index;
        while (index < text.length() && ",]} \n\r\t".indexOf(text.charAt(index)) < 0) index++;
        String word = text.substring(start, index);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.contains(".") || word.contains("e") ? (Object) Double.valueOf(word) : Long.valueOf(word);
        };
    }

    private String string() {
        skip();
        StringBuilder result = new StringBuilder();
        for (index++; text.charAt(index) != '"'; index++) {
            char next = text.charAt(index);
            if (next != '\\') {
                result.append(next);
                continue;
            }
            char escaped = text.charAt(++index);
            switch (escaped) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'b' -> result.append('\b');
                case 'f' -> result.append('\f');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(index + 1, index + 5), 16));
                    index += 4;
                }
                default -> result.append(escaped);
            }
        }
        index++;
        return result.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String text) {
            out.append('"');
            for (char next : text.toCharArray()) {
                if (next == '"' || next == '\\') out.append('\\').append(next);
                else if (next < ' ') out.append(String.format("\\u%04x", (int) next));
                else out.append(next);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}

package dev.kumquatknot.protocol.node;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Calls between nodes.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class NodeGrpc {

  private NodeGrpc() {}

  public static final java.lang.String SERVICE_NAME = "dev.kumquatknot.node.Node";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.WorkRequest,
      dev.kumquatknot.protocol.node.WorkReply> getExecuteMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Execute",
      requestType = dev.kumquatknot.protocol.node.WorkRequest.class,
      responseType = dev.kumquatknot.protocol.node.WorkReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.WorkRequest,
      dev.kumquatknot.protocol.node.WorkReply> getExecuteMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.WorkRequest, dev.kumquatknot.protocol.node.WorkReply> getExecuteMethod;
    if ((getExecuteMethod = NodeGrpc.getExecuteMethod) == null) {
      synchronized (NodeGrpc.class) {
        if ((getExecuteMethod = NodeGrpc.getExecuteMethod) == null) {
          NodeGrpc.getExecuteMethod = getExecuteMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.node.WorkRequest, dev.kumquatknot.protocol.node.WorkReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Execute"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.node.WorkRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.node.WorkReply.getDefaultInstance()))
              .setSchemaDescriptor(new NodeMethodDescriptorSupplier("Execute"))
              .build();
        }
      }
    }
    return getExecuteMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.GossipMessage,
      dev.kumquatknot.protocol.node.GossipMessage> getGossipMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Gossip",
      requestType = dev.kumquatknot.protocol.node.GossipMessage.class,
      responseType = dev.kumquatknot.protocol.node.GossipMessage.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.GossipMessage,
      dev.kumquatknot.protocol.node.GossipMessage> getGossipMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.GossipMessage, dev.kumquatknot.protocol.node.GossipMessage> getGossipMethod;
    if ((getGossipMethod = NodeGrpc.getGossipMethod) == null) {
      synchronized (NodeGrpc.class) {
        if ((getGossipMethod = NodeGrpc.getGossipMethod) == null) {
          NodeGrpc.getGossipMethod = getGossipMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.node.GossipMessage, dev.kumquatknot.protocol.node.GossipMessage>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Gossip"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.node.GossipMessage.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.node.GossipMessage.getDefaultInstance()))
              .setSchemaDescriptor(new NodeMethodDescriptorSupplier("Gossip"))
              .build();
        }
      }
    }
    return getGossipMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.IndirectProbe,
      dev.kumquatknot.protocol.node.IndirectProbeReply> getProbeIndirectlyMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ProbeIndirectly",
      requestType = dev.kumquatknot.protocol.node.IndirectProbe.class,
      responseType = dev.kumquatknot.protocol.node.IndirectProbeReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.IndirectProbe,
      dev.kumquatknot.protocol.node.IndirectProbeReply> getProbeIndirectlyMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.IndirectProbe, dev.kumquatknot.protocol.node.IndirectProbeReply> getProbeIndirectlyMethod;
    if ((getProbeIndirectlyMethod = NodeGrpc.getProbeIndirectlyMethod) == null) {
      synchronized (NodeGrpc.class) {
        if ((getProbeIndirectlyMethod = NodeGrpc.getProbeIndirectlyMethod) == null) {
          NodeGrpc.getProbeIndirectlyMethod = getProbeIndirectlyMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.node.IndirectProbe, dev.kumquatknot.protocol.node.IndirectProbeReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ProbeIndirectly"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.node.IndirectProbe.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.node.IndirectProbeReply.getDefaultInstance()))
              .setSchemaDescriptor(new NodeMethodDescriptorSupplier("ProbeIndirectly"))
              .build();
        }
      }
    }
    return getProbeIndirectlyMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.ConfigurationRequest,
      dev.kumquatknot.protocol.node.ConfigurationReply> getFetchConfigurationMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchConfiguration",
      requestType = dev.kumquatknot.protocol.node.ConfigurationRequest.class,
      responseType = dev.kumquatknot.protocol.node.ConfigurationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.ConfigurationRequest,
      dev.kumquatknot.protocol.node.ConfigurationReply> getFetchConfigurationMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.ConfigurationRequest, dev.kumquatknot.protocol.node.ConfigurationReply> getFetchConfigurationMethod;
    if ((getFetchConfigurationMethod = NodeGrpc.getFetchConfigurationMethod) == null) {
      synchronized (NodeGrpc.class) {
        if ((getFetchConfigurationMethod = NodeGrpc.getFetchConfigurationMethod) == null) {
          NodeGrpc.getFetchConfigurationMethod = getFetchConfigurationMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.node.ConfigurationRequest, dev.kumquatknot.protocol.node.ConfigurationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchConfiguration"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.node.ConfigurationRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.node.ConfigurationReply.getDefaultInstance()))
              .setSchemaDescriptor(new NodeMethodDescriptorSupplier("FetchConfiguration"))
              .build();
        }
      }
    }
    return getFetchConfigurationMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.VantageRequest,
      dev.kumquatknot.protocol.node.VantageReply> getVantageMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Vantage",
      requestType = dev.kumquatknot.protocol.node.VantageRequest.class,
      responseType = dev.kumquatknot.protocol.node.VantageReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.VantageRequest,
      dev.kumquatknot.protocol.node.VantageReply> getVantageMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.node.VantageRequest, dev.kumquatknot.protocol.node.VantageReply> getVantageMethod;
    if ((getVantageMethod = NodeGrpc.getVantageMethod) == null) {
      synchronized (NodeGrpc.class) {
        if ((getVantageMethod = NodeGrpc.getVantageMethod) == null) {
          NodeGrpc.getVantageMethod = getVantageMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.node.VantageRequest, dev.kumquatknot.protocol.node.VantageReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Vantage"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.node.VantageRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.node.VantageReply.getDefaultInstance()))
              .setSchemaDescriptor(new NodeMethodDescriptorSupplier("Vantage"))
              .build();
        }
      }
    }
    return getVantageMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static NodeStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<NodeStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<NodeStub>() {
        @java.lang.Override
        public NodeStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new NodeStub(channel, callOptions);
        }
      };
    return NodeStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static NodeBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<NodeBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<NodeBlockingV2Stub>() {
        @java.lang.Override
        public NodeBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new NodeBlockingV2Stub(channel, callOptions);
        }
      };
    return NodeBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static NodeBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<NodeBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<NodeBlockingStub>() {
        @java.lang.Override
        public NodeBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new NodeBlockingStub(channel, callOptions);
        }
      };
    return NodeBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static NodeFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<NodeFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<NodeFutureStub>() {
        @java.lang.Override
        public NodeFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new NodeFutureStub(channel, callOptions);
        }
      };
    return NodeFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Calls between nodes.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Runs work at a member over the member connections of this node.
     * </pre>
     */
    default void execute(dev.kumquatknot.protocol.node.WorkRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.WorkReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExecuteMethod(), responseObserver);
    }

    /**
     * <pre>
     * Exchanges records of VMs and primaries and the configuration number; also serves as a liveness probe of a node.
     * </pre>
     */
    default void gossip(dev.kumquatknot.protocol.node.GossipMessage request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.GossipMessage> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGossipMethod(), responseObserver);
    }

    /**
     * <pre>
     * Probes a third node on behalf of the sender.
     * </pre>
     */
    default void probeIndirectly(dev.kumquatknot.protocol.node.IndirectProbe request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.IndirectProbeReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getProbeIndirectlyMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns the current configuration if its number is higher than the known one.
     * </pre>
     */
    default void fetchConfiguration(dev.kumquatknot.protocol.node.ConfigurationRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.ConfigurationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchConfigurationMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns when a member last answered this node.
     * </pre>
     */
    default void vantage(dev.kumquatknot.protocol.node.VantageRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.VantageReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getVantageMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Node.
   * <pre>
   * Calls between nodes.
   * </pre>
   */
  public static abstract class NodeImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return NodeGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Node.
   * <pre>
   * Calls between nodes.
   * </pre>
   */
  public static final class NodeStub
      extends io.grpc.stub.AbstractAsyncStub<NodeStub> {
    private NodeStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected NodeStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new NodeStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs work at a member over the member connections of this node.
     * </pre>
     */
    public void execute(dev.kumquatknot.protocol.node.WorkRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.WorkReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExecuteMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Exchanges records of VMs and primaries and the configuration number; also serves as a liveness probe of a node.
     * </pre>
     */
    public void gossip(dev.kumquatknot.protocol.node.GossipMessage request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.GossipMessage> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGossipMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Probes a third node on behalf of the sender.
     * </pre>
     */
    public void probeIndirectly(dev.kumquatknot.protocol.node.IndirectProbe request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.IndirectProbeReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getProbeIndirectlyMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns the current configuration if its number is higher than the known one.
     * </pre>
     */
    public void fetchConfiguration(dev.kumquatknot.protocol.node.ConfigurationRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.ConfigurationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchConfigurationMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns when a member last answered this node.
     * </pre>
     */
    public void vantage(dev.kumquatknot.protocol.node.VantageRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.VantageReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getVantageMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Node.
   * <pre>
   * Calls between nodes.
   * </pre>
   */
  public static final class NodeBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<NodeBlockingV2Stub> {
    private NodeBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected NodeBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new NodeBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs work at a member over the member connections of this node.
     * </pre>
     */
    public dev.kumquatknot.protocol.node.WorkReply execute(dev.kumquatknot.protocol.node.WorkRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExecuteMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges records of VMs and primaries and the configuration number; also serves as a liveness probe of a node.
     * </pre>
     */
    public dev.kumquatknot.protocol.node.GossipMessage gossip(dev.kumquatknot.protocol.node.GossipMessage request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGossipMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Probes a third node on behalf of the sender.
     * </pre>
     */
    public dev.kumquatknot.protocol.node.IndirectProbeReply probeIndirectly(dev.kumquatknot.protocol.node.IndirectProbe request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getProbeIndirectlyMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the current configuration if its number is higher than the known one.
     * </pre>
     */
    public dev.kumquatknot.protocol.node.ConfigurationReply fetchConfiguration(dev.kumquatknot.protocol.node.ConfigurationRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFetchConfigurationMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns when a member last answered this node.
     * </pre>
     */
    public dev.kumquatknot.protocol.node.VantageReply vantage(dev.kumquatknot.protocol.node.VantageRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getVantageMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Node.
   * <pre>
   * Calls between nodes.
   * </pre>
   */
  public static final class NodeBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<NodeBlockingStub> {
    private NodeBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected NodeBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new NodeBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs work at a member over the member connections of this node.
     * </pre>
     */
    public dev.kumquatknot.protocol.node.WorkReply execute(dev.kumquatknot.protocol.node.WorkRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExecuteMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges records of VMs and primaries and the configuration number; also serves as a liveness probe of a node.
     * </pre>
     */
    public dev.kumquatknot.protocol.node.GossipMessage gossip(dev.kumquatknot.protocol.node.GossipMessage request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGossipMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Probes a third node on behalf of the sender.
     * </pre>
     */
    public dev.kumquatknot.protocol.node.IndirectProbeReply probeIndirectly(dev.kumquatknot.protocol.node.IndirectProbe request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getProbeIndirectlyMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the current configuration if its number is higher than the known one.
     * </pre>
     */
    public dev.kumquatknot.protocol.node.ConfigurationReply fetchConfiguration(dev.kumquatknot.protocol.node.ConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchConfigurationMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns when a member last answered this node.
     * </pre>
     */
    public dev.kumquatknot.protocol.node.VantageReply vantage(dev.kumquatknot.protocol.node.VantageRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getVantageMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Node.
   * <pre>
   * Calls between nodes.
   * </pre>
   */
  public static final class NodeFutureStub
      extends io.grpc.stub.AbstractFutureStub<NodeFutureStub> {
    private NodeFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected NodeFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new NodeFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs work at a member over the member connections of this node.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<dev.kumquatknot.protocol.node.WorkReply> execute(
        dev.kumquatknot.protocol.node.WorkRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExecuteMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Exchanges records of VMs and primaries and the configuration number; also serves as a liveness probe of a node.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<dev.kumquatknot.protocol.node.GossipMessage> gossip(
        dev.kumquatknot.protocol.node.GossipMessage request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGossipMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Probes a third node on behalf of the sender.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<dev.kumquatknot.protocol.node.IndirectProbeReply> probeIndirectly(
        dev.kumquatknot.protocol.node.IndirectProbe request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getProbeIndirectlyMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns the current configuration if its number is higher than the known one.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<dev.kumquatknot.protocol.node.ConfigurationReply> fetchConfiguration(
        dev.kumquatknot.protocol.node.ConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchConfigurationMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns when a member last answered this node.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<dev.kumquatknot.protocol.node.VantageReply> vantage(
        dev.kumquatknot.protocol.node.VantageRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getVantageMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXECUTE = 0;
  private static final int METHODID_GOSSIP = 1;
  private static final int METHODID_PROBE_INDIRECTLY = 2;
  private static final int METHODID_FETCH_CONFIGURATION = 3;
  private static final int METHODID_VANTAGE = 4;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXECUTE:
          serviceImpl.execute((dev.kumquatknot.protocol.node.WorkRequest) request,
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.WorkReply>) responseObserver);
          break;
        case METHODID_GOSSIP:
          serviceImpl.gossip((dev.kumquatknot.protocol.node.GossipMessage) request,
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.GossipMessage>) responseObserver);
          break;
        case METHODID_PROBE_INDIRECTLY:
          serviceImpl.probeIndirectly((dev.kumquatknot.protocol.node.IndirectProbe) request,
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.IndirectProbeReply>) responseObserver);
          break;
        case METHODID_FETCH_CONFIGURATION:
          serviceImpl.fetchConfiguration((dev.kumquatknot.protocol.node.ConfigurationRequest) request,
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.ConfigurationReply>) responseObserver);
          break;
        case METHODID_VANTAGE:
          serviceImpl.vantage((dev.kumquatknot.protocol.node.VantageRequest) request,
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.node.VantageReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExecuteMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.node.WorkRequest,
              dev.kumquatknot.protocol.node.WorkReply>(
                service, METHODID_EXECUTE)))
        .addMethod(
          getGossipMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.node.GossipMessage,
              dev.kumquatknot.protocol.node.GossipMessage>(
                service, METHODID_GOSSIP)))
        .addMethod(
          getProbeIndirectlyMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.node.IndirectProbe,
              dev.kumquatknot.protocol.node.IndirectProbeReply>(
                service, METHODID_PROBE_INDIRECTLY)))
        .addMethod(
          getFetchConfigurationMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.node.ConfigurationRequest,
              dev.kumquatknot.protocol.node.ConfigurationReply>(
                service, METHODID_FETCH_CONFIGURATION)))
        .addMethod(
          getVantageMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.node.VantageRequest,
              dev.kumquatknot.protocol.node.VantageReply>(
                service, METHODID_VANTAGE)))
        .build();
  }

  private static abstract class NodeBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    NodeBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return dev.kumquatknot.protocol.node.NodeOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Node");
    }
  }

  private static final class NodeFileDescriptorSupplier
      extends NodeBaseDescriptorSupplier {
    NodeFileDescriptorSupplier() {}
  }

  private static final class NodeMethodDescriptorSupplier
      extends NodeBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    NodeMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (NodeGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new NodeFileDescriptorSupplier())
              .addMethod(getExecuteMethod())
              .addMethod(getGossipMethod())
              .addMethod(getProbeIndirectlyMethod())
              .addMethod(getFetchConfigurationMethod())
              .addMethod(getVantageMethod())
              .build();
        }
      }
    }
    return result;
  }
}

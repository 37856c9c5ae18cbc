package dev.kumquatknot.protocol.standin;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class DatabaseMemberGrpc {

  private DatabaseMemberGrpc() {}

  public static final java.lang.String SERVICE_NAME = "dev.kumquatknot.standin.DatabaseMember";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ClientMessage,
      dev.kumquatknot.protocol.standin.MemberMessage> getConnectMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Connect",
      requestType = dev.kumquatknot.protocol.standin.ClientMessage.class,
      responseType = dev.kumquatknot.protocol.standin.MemberMessage.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ClientMessage,
      dev.kumquatknot.protocol.standin.MemberMessage> getConnectMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ClientMessage, dev.kumquatknot.protocol.standin.MemberMessage> getConnectMethod;
    if ((getConnectMethod = DatabaseMemberGrpc.getConnectMethod) == null) {
      synchronized (DatabaseMemberGrpc.class) {
        if ((getConnectMethod = DatabaseMemberGrpc.getConnectMethod) == null) {
          DatabaseMemberGrpc.getConnectMethod = getConnectMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.standin.ClientMessage, dev.kumquatknot.protocol.standin.MemberMessage>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Connect"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.ClientMessage.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.MemberMessage.getDefaultInstance()))
              .setSchemaDescriptor(new DatabaseMemberMethodDescriptorSupplier("Connect"))
              .build();
        }
      }
    }
    return getConnectMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ReportRequest,
      dev.kumquatknot.protocol.standin.ControlReply> getReportMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Report",
      requestType = dev.kumquatknot.protocol.standin.ReportRequest.class,
      responseType = dev.kumquatknot.protocol.standin.ControlReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ReportRequest,
      dev.kumquatknot.protocol.standin.ControlReply> getReportMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ReportRequest, dev.kumquatknot.protocol.standin.ControlReply> getReportMethod;
    if ((getReportMethod = DatabaseMemberGrpc.getReportMethod) == null) {
      synchronized (DatabaseMemberGrpc.class) {
        if ((getReportMethod = DatabaseMemberGrpc.getReportMethod) == null) {
          DatabaseMemberGrpc.getReportMethod = getReportMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.standin.ReportRequest, dev.kumquatknot.protocol.standin.ControlReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Report"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.ReportRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.ControlReply.getDefaultInstance()))
              .setSchemaDescriptor(new DatabaseMemberMethodDescriptorSupplier("Report"))
              .build();
        }
      }
    }
    return getReportMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ProposalRequest,
      dev.kumquatknot.protocol.standin.ControlReply> getAcceptTermMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "AcceptTerm",
      requestType = dev.kumquatknot.protocol.standin.ProposalRequest.class,
      responseType = dev.kumquatknot.protocol.standin.ControlReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ProposalRequest,
      dev.kumquatknot.protocol.standin.ControlReply> getAcceptTermMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ProposalRequest, dev.kumquatknot.protocol.standin.ControlReply> getAcceptTermMethod;
    if ((getAcceptTermMethod = DatabaseMemberGrpc.getAcceptTermMethod) == null) {
      synchronized (DatabaseMemberGrpc.class) {
        if ((getAcceptTermMethod = DatabaseMemberGrpc.getAcceptTermMethod) == null) {
          DatabaseMemberGrpc.getAcceptTermMethod = getAcceptTermMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.standin.ProposalRequest, dev.kumquatknot.protocol.standin.ControlReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "AcceptTerm"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.ProposalRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.ControlReply.getDefaultInstance()))
              .setSchemaDescriptor(new DatabaseMemberMethodDescriptorSupplier("AcceptTerm"))
              .build();
        }
      }
    }
    return getAcceptTermMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ProposalRequest,
      dev.kumquatknot.protocol.standin.ControlReply> getPromoteMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Promote",
      requestType = dev.kumquatknot.protocol.standin.ProposalRequest.class,
      responseType = dev.kumquatknot.protocol.standin.ControlReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ProposalRequest,
      dev.kumquatknot.protocol.standin.ControlReply> getPromoteMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.ProposalRequest, dev.kumquatknot.protocol.standin.ControlReply> getPromoteMethod;
    if ((getPromoteMethod = DatabaseMemberGrpc.getPromoteMethod) == null) {
      synchronized (DatabaseMemberGrpc.class) {
        if ((getPromoteMethod = DatabaseMemberGrpc.getPromoteMethod) == null) {
          DatabaseMemberGrpc.getPromoteMethod = getPromoteMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.standin.ProposalRequest, dev.kumquatknot.protocol.standin.ControlReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Promote"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.ProposalRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.ControlReply.getDefaultInstance()))
              .setSchemaDescriptor(new DatabaseMemberMethodDescriptorSupplier("Promote"))
              .build();
        }
      }
    }
    return getPromoteMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.FollowRequest,
      dev.kumquatknot.protocol.standin.ControlReply> getFollowMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Follow",
      requestType = dev.kumquatknot.protocol.standin.FollowRequest.class,
      responseType = dev.kumquatknot.protocol.standin.ControlReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.FollowRequest,
      dev.kumquatknot.protocol.standin.ControlReply> getFollowMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.FollowRequest, dev.kumquatknot.protocol.standin.ControlReply> getFollowMethod;
    if ((getFollowMethod = DatabaseMemberGrpc.getFollowMethod) == null) {
      synchronized (DatabaseMemberGrpc.class) {
        if ((getFollowMethod = DatabaseMemberGrpc.getFollowMethod) == null) {
          DatabaseMemberGrpc.getFollowMethod = getFollowMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.standin.FollowRequest, dev.kumquatknot.protocol.standin.ControlReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Follow"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.FollowRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.ControlReply.getDefaultInstance()))
              .setSchemaDescriptor(new DatabaseMemberMethodDescriptorSupplier("Follow"))
              .build();
        }
      }
    }
    return getFollowMethod;
  }

  private static volatile io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.FaultRequest,
      dev.kumquatknot.protocol.standin.FaultReply> getSetFaultMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "SetFault",
      requestType = dev.kumquatknot.protocol.standin.FaultRequest.class,
      responseType = dev.kumquatknot.protocol.standin.FaultReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.FaultRequest,
      dev.kumquatknot.protocol.standin.FaultReply> getSetFaultMethod() {
    io.grpc.MethodDescriptor<dev.kumquatknot.protocol.standin.FaultRequest, dev.kumquatknot.protocol.standin.FaultReply> getSetFaultMethod;
    if ((getSetFaultMethod = DatabaseMemberGrpc.getSetFaultMethod) == null) {
      synchronized (DatabaseMemberGrpc.class) {
        if ((getSetFaultMethod = DatabaseMemberGrpc.getSetFaultMethod) == null) {
          DatabaseMemberGrpc.getSetFaultMethod = getSetFaultMethod =
              io.grpc.MethodDescriptor.<dev.kumquatknot.protocol.standin.FaultRequest, dev.kumquatknot.protocol.standin.FaultReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "SetFault"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.FaultRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  dev.kumquatknot.protocol.standin.FaultReply.getDefaultInstance()))
              .setSchemaDescriptor(new DatabaseMemberMethodDescriptorSupplier("SetFault"))
              .build();
        }
      }
    }
    return getSetFaultMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static DatabaseMemberStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<DatabaseMemberStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<DatabaseMemberStub>() {
        @java.lang.Override
        public DatabaseMemberStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new DatabaseMemberStub(channel, callOptions);
        }
      };
    return DatabaseMemberStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static DatabaseMemberBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<DatabaseMemberBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<DatabaseMemberBlockingV2Stub>() {
        @java.lang.Override
        public DatabaseMemberBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new DatabaseMemberBlockingV2Stub(channel, callOptions);
        }
      };
    return DatabaseMemberBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static DatabaseMemberBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<DatabaseMemberBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<DatabaseMemberBlockingStub>() {
        @java.lang.Override
        public DatabaseMemberBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new DatabaseMemberBlockingStub(channel, callOptions);
        }
      };
    return DatabaseMemberBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static DatabaseMemberFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<DatabaseMemberFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<DatabaseMemberFutureStub>() {
        @java.lang.Override
        public DatabaseMemberFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new DatabaseMemberFutureStub(channel, callOptions);
        }
      };
    return DatabaseMemberFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     * <pre>
     * Each stream is one database connection. The first message of the client opens it.
     * </pre>
     */
    default io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ClientMessage> connect(
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.MemberMessage> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getConnectMethod(), responseObserver);
    }

    /**
     */
    default void report(dev.kumquatknot.protocol.standin.ReportRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReportMethod(), responseObserver);
    }

    /**
     */
    default void acceptTerm(dev.kumquatknot.protocol.standin.ProposalRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getAcceptTermMethod(), responseObserver);
    }

    /**
     */
    default void promote(dev.kumquatknot.protocol.standin.ProposalRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPromoteMethod(), responseObserver);
    }

    /**
     */
    default void follow(dev.kumquatknot.protocol.standin.FollowRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFollowMethod(), responseObserver);
    }

    /**
     * <pre>
     * Sets a fault switch of this member.
     * </pre>
     */
    default void setFault(dev.kumquatknot.protocol.standin.FaultRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.FaultReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSetFaultMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service DatabaseMember.
   */
  public static abstract class DatabaseMemberImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return DatabaseMemberGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service DatabaseMember.
   */
  public static final class DatabaseMemberStub
      extends io.grpc.stub.AbstractAsyncStub<DatabaseMemberStub> {
    private DatabaseMemberStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected DatabaseMemberStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new DatabaseMemberStub(channel, callOptions);
    }

    /**
     * <pre>
     * Each stream is one database connection. The first message of the client opens it.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ClientMessage> connect(
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.MemberMessage> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getConnectMethod(), getCallOptions()), responseObserver);
    }

    /**
     */
    public void report(dev.kumquatknot.protocol.standin.ReportRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReportMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void acceptTerm(dev.kumquatknot.protocol.standin.ProposalRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getAcceptTermMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void promote(dev.kumquatknot.protocol.standin.ProposalRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPromoteMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void follow(dev.kumquatknot.protocol.standin.FollowRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFollowMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Sets a fault switch of this member.
     * </pre>
     */
    public void setFault(dev.kumquatknot.protocol.standin.FaultRequest request,
        io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.FaultReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSetFaultMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service DatabaseMember.
   */
  public static final class DatabaseMemberBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<DatabaseMemberBlockingV2Stub> {
    private DatabaseMemberBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected DatabaseMemberBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new DatabaseMemberBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Each stream is one database connection. The first message of the client opens it.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<dev.kumquatknot.protocol.standin.ClientMessage, dev.kumquatknot.protocol.standin.MemberMessage>
        connect() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getConnectMethod(), getCallOptions());
    }

    /**
     */
    public dev.kumquatknot.protocol.standin.ControlReply report(dev.kumquatknot.protocol.standin.ReportRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getReportMethod(), getCallOptions(), request);
    }

    /**
     */
    public dev.kumquatknot.protocol.standin.ControlReply acceptTerm(dev.kumquatknot.protocol.standin.ProposalRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getAcceptTermMethod(), getCallOptions(), request);
    }

    /**
     */
    public dev.kumquatknot.protocol.standin.ControlReply promote(dev.kumquatknot.protocol.standin.ProposalRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getPromoteMethod(), getCallOptions(), request);
    }

    /**
     */
    public dev.kumquatknot.protocol.standin.ControlReply follow(dev.kumquatknot.protocol.standin.FollowRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFollowMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Sets a fault switch of this member.
     * </pre>
     */
    public dev.kumquatknot.protocol.standin.FaultReply setFault(dev.kumquatknot.protocol.standin.FaultRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSetFaultMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service DatabaseMember.
   */
  public static final class DatabaseMemberBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<DatabaseMemberBlockingStub> {
    private DatabaseMemberBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected DatabaseMemberBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new DatabaseMemberBlockingStub(channel, callOptions);
    }

    /**
     */
    public dev.kumquatknot.protocol.standin.ControlReply report(dev.kumquatknot.protocol.standin.ReportRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReportMethod(), getCallOptions(), request);
    }

    /**
     */
    public dev.kumquatknot.protocol.standin.ControlReply acceptTerm(dev.kumquatknot.protocol.standin.ProposalRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAcceptTermMethod(), getCallOptions(), request);
    }

    /**
     */
    public dev.kumquatknot.protocol.standin.ControlReply promote(dev.kumquatknot.protocol.standin.ProposalRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPromoteMethod(), getCallOptions(), request);
    }

    /**
     */
    public dev.kumquatknot.protocol.standin.ControlReply follow(dev.kumquatknot.protocol.standin.FollowRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFollowMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Sets a fault switch of this member.
     * </pre>
     */
    public dev.kumquatknot.protocol.standin.FaultReply setFault(dev.kumquatknot.protocol.standin.FaultRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSetFaultMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service DatabaseMember.
   */
  public static final class DatabaseMemberFutureStub
      extends io.grpc.stub.AbstractFutureStub<DatabaseMemberFutureStub> {
    private DatabaseMemberFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected DatabaseMemberFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new DatabaseMemberFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<dev.kumquatknot.protocol.standin.ControlReply> report(
        dev.kumquatknot.protocol.standin.ReportRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReportMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<dev.kumquatknot.protocol.standin.ControlReply> acceptTerm(
        dev.kumquatknot.protocol.standin.ProposalRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getAcceptTermMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<dev.kumquatknot.protocol.standin.ControlReply> promote(
        dev.kumquatknot.protocol.standin.ProposalRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPromoteMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<dev.kumquatknot.protocol.standin.ControlReply> follow(
        dev.kumquatknot.protocol.standin.FollowRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFollowMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Sets a fault switch of this member.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<dev.kumquatknot.protocol.standin.FaultReply> setFault(
        dev.kumquatknot.protocol.standin.FaultRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSetFaultMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_REPORT = 0;
  private static final int METHODID_ACCEPT_TERM = 1;
  private static final int METHODID_PROMOTE = 2;
  private static final int METHODID_FOLLOW = 3;
  private static final int METHODID_SET_FAULT = 4;
  private static final int METHODID_CONNECT = 5;

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
        case METHODID_REPORT:
          serviceImpl.report((dev.kumquatknot.protocol.standin.ReportRequest) request,
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply>) responseObserver);
          break;
        case METHODID_ACCEPT_TERM:
          serviceImpl.acceptTerm((dev.kumquatknot.protocol.standin.ProposalRequest) request,
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply>) responseObserver);
          break;
        case METHODID_PROMOTE:
          serviceImpl.promote((dev.kumquatknot.protocol.standin.ProposalRequest) request,
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply>) responseObserver);
          break;
        case METHODID_FOLLOW:
          serviceImpl.follow((dev.kumquatknot.protocol.standin.FollowRequest) request,
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.ControlReply>) responseObserver);
          break;
        case METHODID_SET_FAULT:
          serviceImpl.setFault((dev.kumquatknot.protocol.standin.FaultRequest) request,
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.FaultReply>) responseObserver);
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
        case METHODID_CONNECT:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.connect(
              (io.grpc.stub.StreamObserver<dev.kumquatknot.protocol.standin.MemberMessage>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getConnectMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.standin.ClientMessage,
              dev.kumquatknot.protocol.standin.MemberMessage>(
                service, METHODID_CONNECT)))
        .addMethod(
          getReportMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.standin.ReportRequest,
              dev.kumquatknot.protocol.standin.ControlReply>(
                service, METHODID_REPORT)))
        .addMethod(
          getAcceptTermMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.standin.ProposalRequest,
              dev.kumquatknot.protocol.standin.ControlReply>(
                service, METHODID_ACCEPT_TERM)))
        .addMethod(
          getPromoteMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.standin.ProposalRequest,
              dev.kumquatknot.protocol.standin.ControlReply>(
                service, METHODID_PROMOTE)))
        .addMethod(
          getFollowMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.standin.FollowRequest,
              dev.kumquatknot.protocol.standin.ControlReply>(
                service, METHODID_FOLLOW)))
        .addMethod(
          getSetFaultMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              dev.kumquatknot.protocol.standin.FaultRequest,
              dev.kumquatknot.protocol.standin.FaultReply>(
                service, METHODID_SET_FAULT)))
        .build();
  }

  private static abstract class DatabaseMemberBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    DatabaseMemberBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return dev.kumquatknot.protocol.standin.Standin.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("DatabaseMember");
    }
  }

  private static final class DatabaseMemberFileDescriptorSupplier
      extends DatabaseMemberBaseDescriptorSupplier {
    DatabaseMemberFileDescriptorSupplier() {}
  }

  private static final class DatabaseMemberMethodDescriptorSupplier
      extends DatabaseMemberBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    DatabaseMemberMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (DatabaseMemberGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new DatabaseMemberFileDescriptorSupplier())
              .addMethod(getConnectMethod())
              .addMethod(getReportMethod())
              .addMethod(getAcceptTermMethod())
              .addMethod(getPromoteMethod())
              .addMethod(getFollowMethod())
              .addMethod(getSetFaultMethod())
              .build();
        }
      }
    }
    return result;
  }
}

/*
 * The internal protocol between the processes: the server and the client transports, the authorization and limits of
 * calls, and the messages and services. The latter are generated from the files under proto/ and committed, so that a
 * build needs no generator.
 */
export * from "./compareFencingTokens";
export * from "./connectToPeer";
export * from "./createAuthorizationInterceptor";
export * from "./createHttp2Server";
export * from "./createPeerConnection";
export * from "./createPeerSessions";
export * from "./createPeerTransports";
export * from "./createRateBucket";
export * from "./createRateLimitInterceptor";
export * from "./createRefusingTransport";
export * from "./generated/basilwing/v1/claims_pb";
export * from "./generated/basilwing/v1/common_pb";
export * from "./generated/basilwing/v1/companion_pb";
export * from "./generated/basilwing/v1/configuration_pb";
export * from "./generated/basilwing/v1/consensus_pb";
export * from "./generated/basilwing/v1/control_pb";
export * from "./generated/basilwing/v1/forwarding_pb";
export * from "./generated/basilwing/v1/orders_pb";
export * from "./getCallerRoles";
export * from "./getCommandRoles";
export * from "./getMessageProblem";
export * from "./getServerRole";
export * from "./getServiceLimits";
export * from "./handleSessionErrors";
export * from "./InternalServer";
export * from "./InternalServerOptions";
export * from "./limitMessageSizes";
export * from "./PeerConnection";
export * from "./peerIdentityKey";
export * from "./peerNameKey";
export * from "./PeerTransports";
export * from "./PeerTransportsOptions";
export * from "./ServiceLimits";
export * from "./startInternalServer";

/*
 * Authentication of peers, callers and operators: TLS certificates that name an instance and its roles and are reloaded
 * without a restart, and the digests of callers' keys and operators' tokens.
 */
export * from "./areDigestsEqual";
export * from "./createHttpServer";
export * from "./createKeyDigest";
export * from "./createTlsServerOptions";
export * from "./getCertificateIdentity";
export * from "./getListenerProblem";
export * from "./getPeerCertificateChain";
export * from "./isChainTrusted";
export * from "./isKeyAccepted";
export * from "./loadTlsIdentity";
export * from "./parseCertificates";
export * from "./PeerIdentity";
export * from "./readTlsMaterial";
export * from "./reloadCertificatesOnChange";
export * from "./TlsIdentity";
export * from "./TlsIdentityOptions";
export * from "./TlsIdentityOutcome";
export * from "./TlsMaterial";
export * from "./TlsMaterialOutcome";

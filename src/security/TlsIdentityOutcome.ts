/*
 * The outcome of loading a TLS identity.
 */
import { TlsIdentity } from "./TlsIdentity";

/** The TLS identity, or the problem with its files. */
export type TlsIdentityOutcome =
    | { kind: "loaded"; identity: TlsIdentity; }
    /** A file is missing, malformed or expired, or the files don't belong together. */
    | { kind: "invalid"; problem: string; };

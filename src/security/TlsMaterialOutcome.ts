/*
 * The outcome of reading a TLS identity's files.
 */
import { TlsMaterial } from "./TlsMaterial";

/** The content of the files, or the problem with them. */
export type TlsMaterialOutcome =
    | { kind: "read"; material: TlsMaterial; }
    /** A file is missing, malformed or expired, or the key belongs to another certificate. */
    | { kind: "invalid"; problem: string; };

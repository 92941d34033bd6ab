/*
 * The identity of a process, as named by its certificate.
 */
import { Role } from "../settings";

/** The identity in a certificate that a trusted authority signed. */
export interface PeerIdentity {
    /** The id of the instance. */
    instanceId: string;
    /** The roles that the instance may act in, without duplicates. */
    roles: readonly Role[];
}

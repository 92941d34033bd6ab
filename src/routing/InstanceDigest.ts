/*
 * The form in which rendezvous hashing uses an instance id.
 */

/** The first 64 bits of the hash of an instance id, as two unsigned 32-bit integers. */
export interface InstanceDigest {
    /** The first 32 bits. */
    first: number;
    /** The next 32 bits. */
    second: number;
}

/*
 * The size of the description that follows a snapshot's header.
 */

/**
 * The bytes of index (8), term (8), the lengths and checksums of members and state (4 each), and the checksum of these
 * (4).
 */
export const snapshotDescriptorBytes = 36;

/*
 * The size of the descriptor that follows a snapshot file's header.
 */

/**
 * The size of index (8), term (8), the lengths and checksums of members and state (4 each), and the checksum of these
 * fields (4), in bytes.
 */
export const snapshotDescriptorBytes = 36;

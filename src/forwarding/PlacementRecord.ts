/*
 * What an attempt was placed by, for the log.
 */

/** The chosen backend server and the figures that decided. */
export interface PlacementRecord {
    /** The backend server. */
    instanceId: string;
    /** The requests that were believed to be there, of all entries. */
    requestCount: number;
    /** The prompt tokens of this entry that it had still to read. */
    unreadTokens: number;
    /** Where it was told to fetch cached parts from. */
    fetchAddress: string | undefined;
    /** Where it was told to save parts to. */
    saveAddress: string | undefined;
}

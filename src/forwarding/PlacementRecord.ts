/*
 * The placement of an attempt, as it is logged. The fields are logged under their own names.
 */

/** The chosen backend server and the load by which it was chosen. */
export interface PlacementRecord {
    /** The backend server's id. */
    instanceId: string;
    /** The version of its software; empty where it is not known. */
    softwareVersion: string;
    /** The estimated number of requests that were there, from all entry processes. */
    requestCount: number;
    /** The prompt tokens sent by this entry process that it had not prefilled yet. */
    unreadTokens: number;
    /** The address from which the backend server fetches cached parts. */
    fetchAddress: string | undefined;
    /** The address to which the backend server saves parts. */
    saveAddress: string | undefined;
}

/*
 * The options of createServiceAdapter and createPlatformListClient.
 */

/** The options of an HTTP adapter that needs only an address. */
export interface ServiceAdapterOptions {
    /** The server's address, as `http://ip:port`. */
    address: string;
}

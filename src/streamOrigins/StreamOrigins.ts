/*
 * The origins of streams, as an entry process uses them.
 */
import { StreamOrigin } from "../protocol";

/** Records and finds the origins of streams. */
export interface StreamOrigins {
    /**
     * Records an origin. The stream's first event may be passed on once the promise is resolved.
     * @returns Whether at least one control member holds the origin; false where none responded in time.
     */
    record(origin: StreamOrigin): Promise<boolean>;
    /**
     * Finds the origin of a stream.
     * @param requestId - The id of the request that began the stream.
     * @returns The origin; undefined where no process that responded in time holds it.
     */
    find(requestId: string): Promise<StreamOrigin | undefined>;
}

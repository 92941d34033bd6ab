/*
 * The origins of streams, as an entry process uses them.
 */
import { StreamOrigin } from "../protocol";

/** Records and finds the origins of streams. */
export interface StreamOrigins {
    /**
     * Records an origin. The stream's first event may be passed on once the promise is resolved.
     * @param origin - The origin.
     * @param replacesOtherVersion - Whether members may hold the origin of an earlier attempt at another software version.
     * @returns Whether a search finds the origin: at least one control member holds it, and none of its holders an earlier
     * one of another version. False where the members did not respond in time.
     */
    record(origin: StreamOrigin, replacesOtherVersion: boolean): Promise<boolean>;
    /**
     * Finds the origin of a stream.
     * @param requestId - The id of the request that began the stream.
     * @returns The origin; undefined where no process that responded in time holds it.
     */
    find(requestId: string): Promise<StreamOrigin | undefined>;
}

import { StreamOrigin } from "../../src/protocol";
import { StreamOrigins } from "../../src/streamOrigins";

/** Stream origins that a test can read and change. */
export interface TestStreamOrigins extends StreamOrigins {
    /** The origins by the id of the request that began the stream. */
    readonly origins: Map<string, StreamOrigin>;
}

/** Creates stream origins whose records succeed immediately. */
export function createTestStreamOrigins(): TestStreamOrigins {
    const origins = new Map<string, StreamOrigin>();
    return {
        origins,
        record: origin => {
            origins.set(origin.requestId, origin);
            return Promise.resolve(true);
        },
        find: requestId => Promise.resolve(origins.get(requestId)),
    };
}

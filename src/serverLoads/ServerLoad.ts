/*
 * The load of an engine that entry processes have caused, and what they know of its speed.
 */
import { SpeedEvidence } from "../serverSpeeds";

/** The requests at an engine, and what it has reported of its speed. */
export interface ServerLoad extends SpeedEvidence {
    /** The id of the engine. */
    instanceId: string;
    /** The number of requests in flight. */
    requestCount: number;
    /** The prompt tokens that were sent and that the engine has not prefilled yet. */
    pendingPrefillTokens: number;
    /** The prompt tokens of all requests in flight, which occupy the engine's memory until they end. */
    promptTokens: number;
}

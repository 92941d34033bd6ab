/*
 * An HTTP server that can simulate a crash: it resets its connections and can listen on the same port again later.
 */
import { StandIn } from "./StandIn";

/** The HTTP server of a stand-in. */
export interface StandInServer extends StandIn {
    /** Resets every connection and stops listening. */
    crash(): Promise<void>;
    /** Listens again on the same port. */
    restart(): Promise<void>;
}

/*
 * The options of a client of the control members.
 */
import { Clock, RandomSource } from "../runtime";
import { ControlPeers } from "./distribution";

/** The options of a control client. */
export interface ControlClientOptions {
    /** The internal addresses of the control members, as `ip:port`. */
    members: readonly string[];
    /** The calls to the control members. */
    peers: Pick<ControlPeers, "execute" | "query">;
    /** The clock that times and delays are taken from. */
    clock: Clock;
    /** The random source, seeded differently in each process. */
    random: RandomSource;
    /** How long a command or a query is retried, in milliseconds; 10 seconds by default. */
    timeoutMilliseconds?: number;
}

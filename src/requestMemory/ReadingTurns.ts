/*
 * The time of the event loop that connections share.
 */
import { TurnAccount } from "./TurnAccount";
import { TurnReader } from "./TurnReader";

/** A limit on what is parsed in a turn of the event loop. */
export interface ReadingTurns {
    /** Opens the account of a connection that has just been accepted. */
    open(reader: TurnReader): TurnAccount;
    /** Gets the number of connections that wait for their turn. */
    getWaitingCount(): number;
}

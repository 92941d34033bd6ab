/*
 * The complete replicated state, which is composed of parts.
 */
import { QueryKind } from "../protocol";
import { StateMachine } from "./consensus";

/** The state machine to which the replicated log applies commands, with its queries. */
export interface ControlState extends StateMachine {
    /**
     * Answers a query from the state that this member has applied.
     * @param kind - The kind of query.
     * @param argument - The argument, whose meaning depends on the kind.
     * @returns A value that can be written as JSON, or undefined if no part handles the query.
     */
    query(kind: QueryKind, argument: string): unknown;
}

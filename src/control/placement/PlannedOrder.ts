/*
 * The content of the next order for a backend server.
 */
import { OrderKind } from "../../protocol";

/** An order that has not been committed yet. */
export interface PlannedOrder {
    /** The kind of the order. */
    kind: OrderKind;
    /** The adapter to load; empty for other kinds of order. */
    adapter: string;
    /** The engine role to change to; empty for other kinds. */
    role: string;
}

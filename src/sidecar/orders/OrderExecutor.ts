/*
 * The one way by which orders reach an engine.
 */
import { FencingNumber, Order } from "../../protocol";
import { Stoppable } from "../../runtime";

/** Passes orders on to the engine, one at a time and each number at most once. */
export interface OrderExecutor extends Stoppable {
    /** Takes an order in as it came over the control stream, perhaps late or for the second time. */
    addOrder(order: Order): void;
    /** Gets the highest number that was let through or ruled out; undefined before the read barrier has passed. */
    getFencingToken(): FencingNumber | undefined;
}

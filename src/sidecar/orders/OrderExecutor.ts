/*
 * The component through which all orders reach an engine.
 */
import { FencingNumber, Order } from "../../protocol";
import { Stoppable } from "../../runtime";

/** Passes orders on to the engine, one at a time and each fencing token at most once while it runs. */
export interface OrderExecutor extends Stoppable {
    /** Accepts an order from the control stream; it may be late or a duplicate. */
    addOrder(order: Order): void;
    /**
     * Gets the highest fencing token that was accepted or ruled out; orders up to it are refused. Undefined until the
     * read barrier has passed.
     */
    getFencingToken(): FencingNumber | undefined;
}

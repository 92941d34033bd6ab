/*
 * The options of createOrderHandler.
 */

/** The options of an order handler. */
export interface OrderHandlerOptions {
    /** Whether an order with an old fencing token is refused. */
    isFencing: boolean;
    /** Loads a weights version; returns whether it succeeded. */
    loadVersion(version: string): Promise<boolean>;
    /** Loads an adapter; returns whether it succeeded. */
    loadAdapter(adapter: string): Promise<boolean>;
    /** Changes the role. */
    changeRole(role: string): void;
}

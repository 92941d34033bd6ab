/*
 * Compares the load report of an engine with an order.
 */
import { EngineLoad } from "../../backends";
import { assertNever } from "../../errors";
import { Order, OrderKind } from "../../protocol";

/**
 * Returns whether an engine's load report shows the state that an order asks for.
 * @param order - The order.
 * @param load - The engine's load report.
 */
export function isOrderApplied(order: Order, load: EngineLoad): boolean {
    const { kind } = order;
    switch (kind) {
        case OrderKind.LOAD_VERSION:
            return load.version === order.version;
        case OrderKind.LOAD_ADAPTER:
            return load.version === order.version && load.adapters.includes(order.adapter);
        case OrderKind.CHANGE_ROLE:
            return load.role === order.role;
        case OrderKind.UNSPECIFIED:
            return false;
        default:
            return assertNever(kind);
    }
}

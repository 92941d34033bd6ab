/*
 * Creates the order of an open step.
 */
import { create } from "@bufbuild/protobuf";
import { FencingNumberSchema, Order, OrderSchema } from "../../protocol";
import { OpenStep } from "./OpenStep";

/**
 * Creates the order that a step's sidecar receives.
 * @param step - The committed step; its number becomes the fencing token of the order.
 */
export function toOrder(step: OpenStep): Order {
    const { companion, kind, model, version, adapter, role } = step;
    const number = create(FencingNumberSchema, step.number);
    return create(OrderSchema, { number, companion, kind, model, version, adapter, role });
}

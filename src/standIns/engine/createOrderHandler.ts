/*
 * Executes orders: loads weights versions and adapters, and changes the role.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { readBody } from "../readBody";
import { sendJson } from "../sendJson";
import { OrderHandlerOptions } from "./OrderHandlerOptions";

/** The JSON body of an order. */
interface OrderBody {
    kind: string;
    term: string;
    index: string;
    model: string;
    version: string;
    adapter: string;
    role: string;
}

/**
 * Creates an order handler, which refuses an order whose fencing token is older than one that it has seen.
 * @param options - The functions that execute orders.
 */
export function createOrderHandler(
    options: OrderHandlerOptions,
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
    let highestToken = { term: 0n, index: 0n };
    return handle;

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const order = JSON.parse((await readBody(request)).toString("utf8")) as OrderBody;
        const fencingToken = { term: BigInt(order.term), index: BigInt(order.index) };
        if (options.isFencing && isOlder(fencingToken, highestToken)) {
            sendJson(response, 409, { reason: "The fencing number is old" });
            return;
        }
        highestToken = fencingToken;
        const reason = await execute(order);
        sendJson(response, reason === undefined ? 200 : 422, reason === undefined ? {} : { reason });
    }

    /** Executes an order; returns the reason if it fails. */
    async function execute(order: OrderBody): Promise<string | undefined> {
        switch (order.kind) {
            case "LOAD_VERSION":
                return await options.loadVersion(order.version) ? undefined : "The weights could not be fetched";
            case "LOAD_ADAPTER":
                return await options.loadAdapter(order.adapter) ? undefined : "The adapter could not be fetched";
            case "CHANGE_ROLE":
                options.changeRole(order.role);
                return undefined;
            default:
                return `The kind of order is unknown: ${order.kind}`;
        }
    }
}

function isOlder(token: { term: bigint; index: bigint; }, other: { term: bigint; index: bigint; }): boolean {
    return token.term === other.term ? token.index < other.index : token.term < other.term;
}

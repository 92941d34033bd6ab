/*
 * An engine that executes orders one after another, even if the caller no longer waits for the response, and that
 * reports its load with a delay. It enforces fencing tokens or ignores them.
 */
import { EngineAdapter, EngineLoad, OrderOutcome } from "../../../src/backends";
import { compareFencingTokens, FencingNumber, Order, OrderKind } from "../../../src/protocol";
import { Clock, RandomSource } from "../../../src/runtime";

/** An engine under the control of a test. */
export interface TestEngine extends Pick<EngineAdapter, "execute" | "getLoad"> {
    /** Gets the loaded version; empty while one is loading, and after a crash. */
    getVersion(): string;
    /** Whether a load is running. */
    isLoading(): boolean;
    /** The orders whose execution began, oldest first. */
    readonly begunOrders: readonly Order[];
    /** Gets the incarnation of the engine. */
    getIncarnation(): string;
    /** Crashes the engine, whose next incarnation has nothing loaded. */
    crash(): void;
}

/** The options of a test engine. */
export interface TestEngineOptions {
    clock: Clock;
    random: RandomSource;
    /** The version loaded at the start. */
    version: string;
    /** Whether orders with an older fencing token are refused. */
    enforcesFencing: boolean;
    /** The delay of load reports, in milliseconds. */
    lagMilliseconds: number;
    /** Gets how long a load takes, in milliseconds; called when it begins. */
    getLoadMilliseconds(): number;
    /** Gets the probabilities that an order is refused and that its response is lost. */
    getFaults(): { refusal: number; loss: number; };
    /** Called when a load begins. */
    onLoad(order: Order): void;
}

/** Creates an engine. */
export function createTestEngine(options: TestEngineOptions): TestEngine {
    const { clock, random } = options;
    const begunOrders: Order[] = [];
    let highestToken: FencingNumber | undefined;
    let version = options.version;
    let adapters: string[] = [];
    let role = "both";
    let incarnation = 1;
    let isLoading = false;
    let lastExecution = Promise.resolve();
    return {
        execute,
        getLoad,
        getVersion: () => version,
        isLoading: () => isLoading,
        begunOrders,
        getIncarnation: () => `run-${incarnation}`,
        crash,
    };

    async function execute(order: Order): Promise<OrderOutcome> {
        const { refusal, loss } = options.getFaults();
        const previousExecution = lastExecution;
        const outcome = previousExecution.then(() => executeInOrder(order, random.getFraction() < refusal));
        lastExecution = outcome.then(() => undefined);
        const isResponseLost = random.getFraction() < loss;
        if (isResponseLost) {
            await clock.sleep(random.getInteger(2_000));
            return { kind: "unknown", reason: "the connection broke" };
        }
        return outcome;
    }

    async function executeInOrder(order: Order, isRefused: boolean): Promise<OrderOutcome> {
        const isOutdated = highestToken !== undefined && compareFencingTokens(order.number!, highestToken) < 0;
        if (isRefused || isOutdated && options.enforcesFencing) {
            return { kind: "refused", reason: isOutdated ? "old number" : "no memory" };
        }
        highestToken = order.number;
        begunOrders.push(order);
        options.onLoad(order);
        const run = incarnation;
        const formerVersion = version;
        isLoading = true;
        version = order.kind === OrderKind.LOAD_VERSION ? "" : version;
        await clock.sleep(options.getLoadMilliseconds());
        if (run !== incarnation) {
            return { kind: "unknown", reason: "the engine crashed" };
        }
        isLoading = false;
        version = order.kind === OrderKind.LOAD_VERSION ? order.version : formerVersion;
        adapters = order.kind === OrderKind.LOAD_ADAPTER ? [...adapters, order.adapter] : adapters;
        role = order.kind === OrderKind.CHANGE_ROLE ? order.role : role;
        return { kind: "done" };
    }

    async function getLoad(): Promise<EngineLoad | undefined> {
        const load: EngineLoad = {
            incarnation: `run-${incarnation}`,
            version,
            adapters: [...adapters],
            role,
            running: 0,
            waiting: 0,
            pendingPrefillTokens: 0,
        };
        await clock.sleep(options.lagMilliseconds);
        return load;
    }

    function crash(): void {
        incarnation += 1;
        isLoading = false;
        version = "";
        adapters = [];
    }
}

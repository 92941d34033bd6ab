import { CrashQuarantine, createCrashQuarantine } from "../../src/crashQuarantine";
import { FactStore } from "../../src/facts";
import { FeedState } from "../../src/feed";
import { BackendLink } from "../../src/forwarding";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { Clock } from "../../src/runtime";
import { createTestFactStore } from "../facts/createTestFacts";

interface TestCrashQuarantineOptions {
    state: FeedState;
    link: Pick<BackendLink, "checkInstance">;
    clock: Clock;
    incarnation?: string;
    facts?: FactStore;
}

/** Creates the quarantine of an entry process. */
export function createTestCrashQuarantine(options: TestCrashQuarantineOptions): CrashQuarantine {
    return createCrashQuarantine({
        incarnation: "1",
        facts: createTestFactStore(options.clock),
        ...options,
        checkInstance: options.link.checkInstance,
        logger: createSilentLogger(),
        metrics: createMetrics(),
        signal: new AbortController().signal,
    });
}

import { FeedState } from "../../src/feed";
import { BackendLink } from "../../src/forwarding";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createPromptQuarantine, PromptQuarantine } from "../../src/promptQuarantine";
import { Clock } from "../../src/runtime";

interface TestPromptQuarantineOptions {
    state: FeedState;
    link: Pick<BackendLink, "checkEngine">;
    clock: Clock;
    incarnation?: string;
}

/** Creates the quarantine of an entry process. */
export function createTestPromptQuarantine(options: TestPromptQuarantineOptions): PromptQuarantine {
    return createPromptQuarantine({
        incarnation: "1",
        ...options,
        checkInstance: options.link.checkEngine,
        logger: createSilentLogger(),
        metrics: createMetrics(),
        signal: new AbortController().signal,
    });
}

/*
 * Fills the empty tree of a new group from a file: the leader proposes the file's content as the first change.
 */
import { create } from "@bufbuild/protobuf";
import { CommandSchema } from "../protocol";
import { Stoppable } from "../runtime";
import { createInitialChange, readConfigurationFile } from "./configuration";
import { InitialConfigurationImportOptions } from "./InitialConfigurationImportOptions";

const retryIntervalMilliseconds = 1_000;

/** Starts the task, which ends once there is a configuration. */
export function startInitialConfigurationImport(options: InitialConfigurationImportOptions): Stoppable {
    const { file, leadership, configuration, client, clock, logger } = options;
    const stopController = new AbortController();
    const firstDelayController = new AbortController();
    const removeListener = leadership.addListener(() => firstDelayController.abort());
    const running = run();
    return { stop };

    async function run(): Promise<void> {
        await clock.sleep(retryIntervalMilliseconds, firstDelayController.signal);
        while (file !== undefined && configuration.getRevision() === 0n && !stopController.signal.aborted) {
            if (leadership.isAssured()) {
                await proposeConfiguration(file);
            }
            await clock.sleep(retryIntervalMilliseconds, stopController.signal);
        }
    }

    async function proposeConfiguration(path: string): Promise<void> {
        const outcome = await readConfigurationFile(path);
        if (outcome.kind !== "read") {
            const reason = outcome.kind === "invalid" ? outcome.problems : outcome.reason;
            logger.error({ file: path, reason }, "the initial configuration can't be read");
            return;
        }
        const value = createInitialChange(outcome.levels);
        await client.execute(
            create(CommandSchema, { command: { case: "configuration", value } }),
            stopController.signal,
        );
    }

    async function stop(): Promise<void> {
        stopController.abort();
        firstDelayController.abort();
        removeListener();
        await running;
    }
}

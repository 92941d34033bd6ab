/*
 * Imports the first configuration of a new group from a file: the leader proposes the file's content as the first
 * change of the empty tree.
 */
import { create } from "@bufbuild/protobuf";
import { CommandSchema } from "../protocol";
import { Stoppable } from "../runtime";
import { createInitialChange, readConfigurationFile } from "./configuration";
import { InitialConfigurationImportOptions } from "./InitialConfigurationImportOptions";

const retryIntervalMilliseconds = 1_000;

/**
 * Starts the import, which retries until the group has a configuration.
 * @param options - The file, and the member's leadership, configuration and client.
 * @returns The running import, to be stopped with the member.
 */
export function startInitialConfigurationImport(options: InitialConfigurationImportOptions): Stoppable {
    const { file, leadership, configuration, client, clock, logger } = options;
    const stopController = new AbortController();
    const firstDelayController = new AbortController();
    // A change of this member's leadership ends the first delay early.
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

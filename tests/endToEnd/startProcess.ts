/*
 * Runs a process of the bundled program.
 */
import { ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { createDemoSettings } from "../../src/demo/createDemoSettings";

/** A running process of the program. */
export interface TestProcess {
    child: ChildProcess;
    /** The addresses that it printed, by listener, as `host:port`. */
    addresses: Record<string, string>;
    /** Sends a signal, and waits until the process has exited; returns at once where it has exited already. */
    kill(signal: "SIGKILL" | "SIGTERM"): Promise<void>;
}

/**
 * Starts a process and waits until it has printed its addresses.
 * @param programFile - The path of the bundled program.
 * @param folder - The folder for its settings file and its log.
 * @param options - Its settings; the listener for administration is added.
 */
export async function startProcess(
    programFile: string,
    folder: string,
    options: Omit<Parameters<typeof createDemoSettings>[0], "dataCentre" | "logFile">,
): Promise<TestProcess> {
    const logFile = join(folder, `${options.instanceId}.log`);
    const listeners = { administration: { address: "127.0.0.1", port: 0 }, ...options.listeners };
    const settings = createDemoSettings({ dataCentre: "brest", logFile, ...options, listeners });
    const settingsFile = join(folder, `${options.instanceId}.json`);
    await writeFile(settingsFile, JSON.stringify(settings));
    const child = spawn(process.execPath, [programFile, "run", "--settings", settingsFile], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    const [line] = await once(createInterface(child.stdout!), "line") as [string];
    return { child, addresses: JSON.parse(line) as Record<string, string>, kill };

    async function kill(signal: "SIGKILL" | "SIGTERM"): Promise<void> {
        if (typeof child.exitCode === "number" || typeof child.signalCode === "string") {
            return;
        }
        const exited = once(child, "exit");
        child.kill(signal);
        await exited;
    }
}

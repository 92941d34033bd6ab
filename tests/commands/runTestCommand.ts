import { Writable } from "node:stream";
import { runCommandLine } from "../../src/commands";

/** The exit code and the output of a command. */
export interface CommandResult {
    exitCode: number;
    output: string;
    errors: string;
}

/** Runs a command and captures its output. */
export async function runTestCommand(
    commandLine: readonly string[],
    env: Readonly<Record<string, string>>,
): Promise<CommandResult> {
    const outputs = { output: "", errors: "" };
    const createSink = (name: keyof typeof outputs): Writable => {
        return new Writable({
            write: (chunk: Buffer, ...[, done]: [string, () => void]) => {
                outputs[name] += chunk.toString();
                done();
            },
        });
    };
    const context = { stdout: createSink("output"), stderr: createSink("errors"), env: { ...env } };
    const exitCode = await runCommandLine(commandLine, context);
    return { exitCode, ...outputs };
}

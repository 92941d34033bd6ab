/*
 * Runs a stand-in until the process gets a stop signal.
 */
import { Writable } from "node:stream";
import { getErrorMessage } from "../errors";
import { StandIn } from "../standIns";
import { ExitCode } from "./ExitCode";
import { parseNumberOptions } from "./parseNumberOptions";
import { waitForStopSignal } from "./waitForStopSignal";

/**
 * Runs a stand-in until SIGINT or SIGTERM.
 * @param output - The stream that the stand-in's address, or the problem, is written to.
 * @param textsByOption - The text of each numeric option; undefined where the option is absent.
 * @param startStandIn - Starts the stand-in with the number of each option.
 * @returns The exit code.
 */
export async function runStandIn(
    output: Writable,
    textsByOption: Readonly<Record<string, string | undefined>>,
    startStandIn: (values: Readonly<Record<string, number | undefined>>) => Promise<StandIn>,
): Promise<number> {
    const numbers = parseNumberOptions(textsByOption);
    if (numbers.kind === "invalid") {
        output.write(`${numbers.message}\n`);
        return ExitCode.Invalid;
    }
    try {
        const standIn = await startStandIn(numbers.values);
        output.write(`${standIn.address}\n`);
        await waitForStopSignal();
        await standIn.stop();
        return ExitCode.Success;
    }
    catch (error) {
        output.write(`The stand-in could not be started: ${getErrorMessage(error)}\n`);
        return ExitCode.Failure;
    }
}

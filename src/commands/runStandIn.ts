/*
 * Keeps a stand-in up until the process is asked to stop.
 */
import { Writable } from "node:stream";
import { getErrorMessage } from "../errors";
import { StandIn } from "../standIns";
import { ExitCode } from "./ExitCode";
import { parseNumberOptions } from "./parseNumberOptions";
import { waitForStopSignal } from "./waitForStopSignal";

/**
 * Runs a stand-in.
 * @param output - Where its address, or the problem, is written.
 * @param textsByOption - The numbers of the command line, by option.
 * @param startStandIn - Starts the stand-in with the numbers that were read.
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

/*
 * The base class of the commands that call control members.
 */
import { Command, Option } from "clipanion";
import { createSystemClock } from "../runtime";
import { createOperatorClient } from "./createOperatorClient";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorCallOutcome } from "./OperatorCallOutcome";
import { OperatorClient } from "./OperatorClient";
import { readOperatorConnection } from "./readOperatorConnection";

const millisecondsPerSecond = 1_000;

/** A command that calls control members with an operator's token. */
export abstract class OperatorCommand extends Command {
    addresses = Option.Array("--address", [], {
        description: "A control member's operator address; may be repeated. Defaults to BASILWING_OPERATOR_ADDRESS.",
    });

    tokenFile = Option.String("--token-file", {
        description: "The file with the operator's token. Defaults to the token in BASILWING_OPERATOR_TOKEN.",
    });

    authorityFile = Option.String("--authority-file", {
        description: "The certificate authorities that servers are verified against, as a PEM file.",
    });

    allowsPlain = Option.Boolean("--allow-plain", false, {
        description: "Allow the token to be sent over plain HTTP to another machine.",
    });

    timeoutSeconds = Option.String("--timeout", "20", {
        description: "How long to retry until a control member answers, in seconds.",
    });

    isJson = Option.Boolean("--json", false, { description: "Print JSON instead of a table." });

    async execute(): Promise<number> {
        const { addresses, tokenFile, authorityFile, allowsPlain } = this;
        const outcome = await readOperatorConnection(
            { addresses, tokenFile, authorityFile, allowsPlain },
            this.context.env,
        );
        if (outcome.kind === "invalid") {
            this.context.stderr.write(`${outcome.problem}\n`);
            return ExitCode.Invalid;
        }
        const timeoutMilliseconds = Number(this.timeoutSeconds) * millisecondsPerSecond;
        if (Number.isNaN(timeoutMilliseconds)) {
            this.context.stderr.write("--timeout must be a number of seconds\n");
            return ExitCode.Invalid;
        }
        const client = createOperatorClient({ ...outcome.connection, timeoutMilliseconds, clock: createSystemClock() });
        try {
            return await this.runWithClient(client);
        }
        finally {
            await client.stop();
        }
    }

    /**
     * Runs the command.
     * @param client - Calls the control members.
     * @returns The exit code.
     */
    protected abstract runWithClient(client: OperatorClient): Promise<number>;

    /**
     * Prints the outcome of a call.
     * @param outcome - The outcome of the call.
     * @param successLine - The line that is printed on success without `--json`.
     * @returns The exit code.
     */
    protected reportOutcome(outcome: OperatorCallOutcome, successLine: string): number {
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
            return getCallExitCode(outcome);
        }
        if (this.isJson) {
            this.printJson(outcome.body);
        }
        else {
            this.printLine(successLine);
        }
        return ExitCode.Success;
    }

    /** Prints a value as indented JSON. */
    protected printJson(value: unknown): void {
        this.context.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
    }

    protected printLine(line: string): void {
        this.context.stdout.write(`${line}\n`);
    }
}

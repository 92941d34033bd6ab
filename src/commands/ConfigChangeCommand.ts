/*
 * What all commands have in common that change the configuration.
 */
import { Option } from "clipanion";
import { randomUUID } from "node:crypto";
import { ConfigurationChangeBody, ConfigurationChangeResponse } from "../control/operators";
import { createSystemClock } from "../runtime";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorCallOutcome } from "./OperatorCallOutcome";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";
import { waitInForce } from "./waitInForce";

const defaultWaitSeconds = "60";
const millisecondsPerSecond = 1_000;
const wholeNumberPattern = /^\d{1,15}$/;

/** A command that changes the configuration. */
export abstract class ConfigChangeCommand extends OperatorCommand {
    revision = Option.String("--revision", {
        description: "The revision that the change is meant for; the newest where absent.",
    });

    changeId = Option.String("--change-id", {
        description: "The id of a change whose answer was lost, to learn its outcome.",
    });

    isWaiting = Option.Boolean("--wait", false, { description: "Wait until the change is in force everywhere." });

    waitSeconds = Option.String("--wait-seconds", defaultWaitSeconds, { description: "The longest wait, in seconds." });

    /** Gets the problem of the options; undefined where there is none. */
    protected getOptionProblem(): string | undefined {
        if (this.revision !== undefined && !wholeNumberPattern.test(this.revision)) {
            return "--revision must be a whole number";
        }
        return wholeNumberPattern.test(this.waitSeconds) ? undefined : "--wait-seconds must be a whole number";
    }

    /** Gets the revision that the change is meant for, asking for the newest where none is given. */
    protected async getExpectedRevision(client: OperatorClient): Promise<number | OperatorCallOutcome> {
        if (this.revision !== undefined) {
            return Number(this.revision);
        }
        const outcome = await client.send({ method: "GET", path: "/v1/configuration?level=/" });
        if (outcome.kind === "answered" && outcome.status === 200) {
            return (outcome.body as { revision: number; }).revision;
        }
        return outcome;
    }

    /** Sends a change, again under its id where an answer was lost, and waits for its coming into force if asked to. */
    protected async sendChange(
        client: OperatorClient,
        expectedRevision: number,
        operations: ConfigurationChangeBody["operations"],
    ): Promise<number> {
        const body: ConfigurationChangeBody = { changeId: this.changeId ?? randomUUID(), expectedRevision, operations };
        const outcome = await client.send({
            method: "POST",
            path: "/v1/configuration/changes",
            body,
            isRepeatable: true,
        });
        if (this.isJson && outcome.kind === "answered") {
            this.printJson({ changeId: body.changeId, ...outcome.body as object });
        }
        if (getCallExitCode(outcome) !== ExitCode.Success) {
            return this.reportFailure(outcome, body);
        }
        const { revision } = (outcome as { body: ConfigurationChangeResponse; }).body;
        if (!this.isJson) {
            this.printLine(`accepted as revision ${revision}`);
        }
        return this.isWaiting ? this.waitUntilInForce(client, revision) : ExitCode.Success;
    }

    /** Prints why a call failed. */
    protected reportFailure(outcome: OperatorCallOutcome, body?: ConfigurationChangeBody): number {
        this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
        const isOutcomeUnknown = outcome.kind === "unreachable" ? outcome.mayHaveRun : hasUnknownOutcomeStatus(outcome);
        if (body !== undefined && isOutcomeUnknown) {
            const { changeId, expectedRevision } = body;
            this.context.stderr.write(
                "The change may be made or not. The same command with "
                    + `--change-id ${changeId} --revision ${expectedRevision} tells, and changes nothing twice.\n`,
            );
        }
        return getCallExitCode(outcome);
    }

    private async waitUntilInForce(client: OperatorClient, revision: number): Promise<number> {
        const timeoutMilliseconds = Number(this.waitSeconds) * millisecondsPerSecond;
        const outcome = await waitInForce(client, revision, timeoutMilliseconds, createSystemClock());
        if (outcome.kind === "answered" && outcome.status === 200) {
            this.printLine(`revision ${revision} is in force everywhere`);
            return ExitCode.Success;
        }
        const reason = outcome.kind === "answered" && outcome.status === 202
            ? `waiting for ${(outcome.body as { waitingFor: readonly string[]; }).waitingFor.join(", ")}`
            : formatCallFailure(outcome);
        this.context.stderr.write(`revision ${revision} is accepted, but not known to be in force: ${reason}\n`);
        return ExitCode.Pending;
    }
}

function hasUnknownOutcomeStatus(outcome: OperatorCallOutcome): boolean {
    return outcome.kind === "answered" && outcome.status === 504;
}

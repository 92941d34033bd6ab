/*
 * The base class of the commands that change the configuration.
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
        description: "The revision that the change is based on; defaults to the newest.",
    });

    changeId = Option.String("--change-id", {
        description: "The id of a change whose response was lost, to learn its outcome.",
    });

    isWaiting = Option.Boolean("--wait", false, { description: "Wait until the change is in force everywhere." });

    waitSeconds = Option.String("--wait-seconds", defaultWaitSeconds, { description: "The maximum wait, in seconds." });

    /** Gets the first problem of the options; undefined where they are valid. */
    protected getOptionProblem(): string | undefined {
        if (this.revision !== undefined && !wholeNumberPattern.test(this.revision)) {
            return "--revision must be a whole number";
        }
        return wholeNumberPattern.test(this.waitSeconds) ? undefined : "--wait-seconds must be a whole number";
    }

    /**
     * Gets the revision that the change is based on: the `--revision` option, or else the newest one.
     * @param client - Calls the control members.
     * @returns The revision, or the outcome of the call that failed to get it.
     */
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

    /**
     * Sends a change and, with `--wait`, waits until it is in force. The client may send the change again after a lost
     * response, since the control members apply a change id only once.
     * @param client - Calls the control members.
     * @param expectedRevision - The revision that the change is based on.
     * @param operations - What is changed, in this order, all of it or nothing.
     * @returns The exit code.
     */
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

    /**
     * Prints why a call failed.
     * @param outcome - The outcome of the call.
     * @param body - The change that was sent; absent where the call changes nothing.
     * @returns The exit code.
     */
    protected reportFailure(outcome: OperatorCallOutcome, body?: ConfigurationChangeBody): number {
        this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
        const isOutcomeUnknown = outcome.kind === "unreachable" ? outcome.mayHaveRun : hasUnknownOutcomeStatus(outcome);
        if (body !== undefined && isOutcomeUnknown) {
            const { changeId, expectedRevision } = body;
            this.context.stderr.write(
                "The change may or may not have been made. To learn its outcome, run the command again with "
                    + `--change-id ${changeId} --revision ${expectedRevision}; the change is not made twice.\n`,
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

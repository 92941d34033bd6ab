/*
 * The `status` command, which shows the control members and their leader.
 */
import { Command } from "clipanion";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { formatTable } from "./formatTable";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

/** The fields that this command shows of a control member's status. */
interface ControlMemberStatus {
    /** The member's role in the replicated log. */
    role: string;
    /** The term, as a decimal number. */
    term: string;
    /** The index of the last committed entry, as a decimal number. */
    commitIndex: string;
    /** The leader's address; absent where none is known. */
    leaderAddress?: string;
    /** The members; `matchIndex` is the last entry that the leader has on record as stored by the member. */
    members: readonly { address: string; isVoter: boolean; matchIndex?: string; }[];
}

/** Shows the members and the leader of the replicated log. */
export class StatusCommand extends OperatorCommand {
    static override paths = [["status"]];

    static override usage = Command.Usage({
        description: "Show the control members and their leader.",
        details: "Exit codes: 0 shown, 1 refused, 4 no control member answered.",
        examples: [["Show the control members", "basilwing status --address http://127.0.0.1:7100"]],
    });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const outcome = await client.send({ method: "GET", path: "/v1/status" });
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
            return getCallExitCode(outcome);
        }
        const status = outcome.body as ControlMemberStatus;
        if (this.isJson) {
            this.printJson(status);
            return ExitCode.Success;
        }
        this.printLine(
            `leader ${status.leaderAddress ?? "unknown"}, term ${status.term}, committed ${status.commitIndex}`,
        );
        const rows = status.members.map(member => [
            member.address,
            member.isVoter ? "voter" : "learner",
            member.matchIndex ?? "",
        ]);
        this.printLine(formatTable(["address", "part", "holds up to"], rows));
        return ExitCode.Success;
    }
}

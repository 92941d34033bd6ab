/*
 * The `quarantine release` command, which releases a request from quarantine.
 */
import { Command, Option } from "clipanion";
import { ExitCode } from "./ExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

const fingerprintPattern = /^(?:[0-9a-f]{2}){1,64}$/;

/** Releases a request from quarantine and clears its crash record. */
export class QuarantineReleaseCommand extends OperatorCommand {
    static override paths = [["quarantine", "release"]];

    static override usage = Command.Usage({
        category: "Quarantine",
        description: "Release a request from quarantine and clear its crash record.",
        details: "Exit codes: 0 released, 2 invalid fingerprint, 4 no control member answered.",
        examples: [["Release a request", "basilwing quarantine release 9f86d081884c7d65"]],
    });

    fingerprint = Option.String({ name: "fingerprint" });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const { fingerprint } = this;
        if (!fingerprintPattern.test(fingerprint)) {
            this.context.stderr.write(
                `fingerprint: found ${JSON.stringify(fingerprint)}, expected hexadecimal digits\n`,
            );
            return ExitCode.Invalid;
        }
        const body = { fingerprint };
        const outcome = await client.send({ method: "POST", path: "/v1/quarantine/release", body, isRepeatable: true });
        return this.reportOutcome(outcome, `${fingerprint}: released`);
    }
}

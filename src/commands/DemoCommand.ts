/*
 * The `demo` command, which runs a whole deployment in one process and checks how it behaves under faults.
 */
import { Command, Option } from "clipanion";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { DemoDeployment, startDemoDeployment } from "../demo";
import {
    createDemoWorkload,
    createFleetGroundTruth,
    createWorkloadConfiguration,
    DemoProgress,
    getDemoTable,
    runDemoWorkload,
    Workload,
} from "../experiment";
import { createSystemClock } from "../runtime";
import { ExitCode } from "./ExitCode";
import { parseNumberOptions } from "./parseNumberOptions";
import { waitForStopSignal } from "./waitForStopSignal";

const defaultSeconds = 15;
const defaultSeed = 1;
/** When an engine is crashed, as a share of the workload's duration. */
const crashTimeShare = 0.4;
/** When an entry process is restarted, as a share of the workload's duration. */
const restartTimeShare = 0.6;
const blockTokens = 4_096;

/** Runs the demonstration deployment, with its workload or until interrupted. */
export class DemoCommand extends Command {
    static override paths = [["demo"]];

    static override usage = Command.Usage({
        description: "Run a whole deployment in one process on loopback, as a demonstration.",
        details: `
            Starts three control members, three entry processes, and eight engines and three locker services with their
            sidecars. Sends the mixed workload of a locker operator, crashes an engine and restarts an entry process
            meanwhile, and prints the measurements. Checks that every stream was complete, that no release ran twice
            and that every refusal was correct. With \`--serve\` it runs until interrupted instead and prints example
            calls.

            Exit codes: 0 all checks hold, 1 a check fails, 2 an option is invalid.
        `,
        examples: [
            ["Run the workload and the checks", "basilwing demo"],
            ["Keep the deployment running for your own calls", "basilwing demo --serve --port 8080"],
        ],
    });

    seconds = Option.String("--seconds", { description: "How long requests arrive, in seconds; defaults to 15." });
    seed = Option.String("--seed", { description: "The seed of the workload; defaults to 1." });
    isServing = Option.Boolean("--serve", false, { description: "Run until interrupted, without a workload." });
    port = Option.String("--port", { description: "The port for callers; chosen by the operating system by default." });

    async execute(): Promise<number> {
        const numbers = parseNumberOptions({ seconds: this.seconds, seed: this.seed, port: this.port });
        if (numbers.kind === "invalid") {
            this.context.stderr.write(`${numbers.message}\n`);
            return ExitCode.Invalid;
        }
        const { port, seconds = defaultSeconds, seed = defaultSeed } = numbers.values;
        const folder = await mkdtemp(join(tmpdir(), "basilwing-demo-"));
        const workload = createDemoWorkload(seconds, seed);
        const truth = createFleetGroundTruth(blockTokens);
        const stopSignal = waitForStopSignal();
        const deployment = await startDemoDeployment({
            folder,
            levels: createWorkloadConfiguration(workload.subscribers),
            callersPort: port,
            observer: truth,
            seed,
        });
        const exitCode = this.isServing
            ? await this.serve(deployment, workload, stopSignal)
            : await this.runWorkload(deployment, workload, seconds, truth);
        await deployment.stop();
        await rm(folder, { recursive: true, force: true });
        return exitCode;
    }

    /** Runs the workload, prints the measurements and gets the exit code. */
    private async runWorkload(
        deployment: DemoDeployment,
        workload: Workload,
        seconds: number,
        truth: ReturnType<typeof createFleetGroundTruth>,
    ): Promise<number> {
        const result = await runDemoWorkload({
            workload,
            getAddresses: deployment.getCallersAddresses,
            getRuns: deployment.getRuns,
            groundTruth: truth,
            actions: [
                { atSeconds: seconds * crashTimeShare, name: "crashed an engine", run: deployment.crashEngine },
                { atSeconds: seconds * restartTimeShare, name: "restarted an entry", run: deployment.restartEntry },
            ],
            clock: createSystemClock(),
            onProgress: progress => this.printProgress(progress),
        });
        this.context.stderr.write("\n");
        this.context.stdout.write(`${getDemoTable(result)}\n`);
        return result.checks.every(check => check.holds) ? ExitCode.Success : ExitCode.Failure;
    }

    private printProgress(progress: DemoProgress): void {
        const { elapsedSeconds, ended, lastAction, sent, total } = progress;
        const text = `${elapsedSeconds.toFixed(1)} s: ${sent} of ${total} sent, ${ended} ended  ${lastAction}`;
        this.context.stderr.write(`\r${text.padEnd(80)}`);
    }

    /** Prints example calls and waits until interrupted. */
    private async serve(deployment: DemoDeployment, workload: Workload, stopSignal: Promise<void>): Promise<number> {
        const address = deployment.getCallersAddresses()[0]!;
        const key = workload.subscribers[0]!.key;
        const operators = deployment.getOperatorsAddresses();
        this.context.stdout.write([
            "A streamed chat completion:",
            `  curl -N ${address}/v1/chat/completions -H 'authorization: Bearer ${key}' \\`,
            "    -H 'content-type: application/json' \\",
            "    -d '{\"model\":\"large\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'",
            "A locker release, which runs once however often it is sent:",
            `  curl ${address}/services/lockers/release -H 'authorization: Bearer ${key}' \\`,
            "    -H 'idempotency-key: release-0001' -H 'content-type: application/json' -d '{\"key\":\"locker-12\"}'",
            "The configuration, as its operator:",
            `  BASILWING_OPERATOR_TOKEN=${deployment.getOperatorToken()} \\`,
            `    npm run -s basilwing -- config status --address ${operators[0]}`,
            "Interrupt to stop.",
            "",
        ].join("\n"));
        await stopSignal;
        return ExitCode.Success;
    }
}

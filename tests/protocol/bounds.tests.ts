import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, createClient, createRouterTransport } from "@connectrpc/connect";
import { expect } from "chai";
import {
    CommandSchema,
    CompanionService,
    ConsensusService,
    ControlService,
    createPeerTransports,
    createRateLimitInterceptor,
    ExecuteRequestSchema,
    getCallerRoles,
    getMessageProblem,
    getServerRole,
    getServiceLimits,
    startInternalServer,
} from "../../src/protocol";
import { Role } from "../../src/settings";
import { createTestClock } from "../control/placement/createTestClock";

const services = [CompanionService, ConsensusService, ControlService];

describe("getCallerRoles", () => {
    services.flatMap(service => service.methods).forEach(method => {
        it(`names the roles that may call ${method.parent.name}.${method.name}`, () =>
            expect(getCallerRoles(method)).to.not.deep.equal([]));
    });

    it("does not allow entry processes and sidecars to call the replicated log", () =>
        expect(ConsensusService.methods.flatMap(getCallerRoles).every(role => role === Role.Control)).to.equal(true));
});

describe("getServerRole", () => {
    services.forEach(service => {
        it(`names the role that serves ${service.name}`, () => expect(getServerRole(service)).to.not.equal(undefined));
    });
});

describe("getMessageProblem", () => {
    type Step = { companion: string; begun?: boolean; ended?: boolean; observed?: boolean; };

    function doTest(role: Role, step: Step, isAllowed: boolean): void {
        const command = create(CommandSchema, { command: { case: "rolloutStep", value: step } });
        const message = create(ExecuteRequestSchema, { commands: [command] });
        const problem = getMessageProblem({ instanceId: "large-0", roles: [role] }, message);
        expect(problem === undefined).to.equal(isAllowed);
    }

    it("allows a sidecar to begin its own step", () =>
        doTest(Role.Sidecar, { companion: "large-0", begun: true }, true));
    it("allows a sidecar to end its own step", () => doTest(Role.Sidecar, { companion: "large-0", ended: true }, true));
    it("does not allow a sidecar to end another's step", () =>
        doTest(Role.Sidecar, { companion: "large-1", ended: true }, false));
    it("does not allow a sidecar to open a step", () => doTest(Role.Sidecar, { companion: "large-0" }, false));
    it("does not allow a sidecar to report the observation of a canary", () =>
        doTest(Role.Sidecar, { companion: "large-0", ended: true, observed: true }, false));
    it("does not allow an entry process to report steps", () =>
        doTest(Role.Entry, { companion: "large-0", ended: true }, false));
    it("allows a control member to open a step", () => doTest(Role.Control, { companion: "large-0" }, true));
});

describe("the limits of services", () => {
    async function getCode(call: Promise<unknown>): Promise<Code | undefined> {
        return call.then(() => undefined, error => ConnectError.from(error).code);
    }

    it("refuse messages beyond the rate until the bucket has refilled", async () => {
        const clock = createTestClock();
        const refusals: string[] = [];
        const limits = { maximumMessageBytes: 1_000, messagesPerSecond: 10, messageBurst: 3 };
        const interceptor = createRateLimitInterceptor(clock, (...[, problem]) => refusals.push(problem), () => limits);
        const transport = createRouterTransport(
            router => router.service(ControlService, { query: () => ({ index: 1n }) }),
            { router: { interceptors: [interceptor] } },
        );
        const client = createClient(ControlService, transport);
        const codes = [];
        for (let call = 0; call < 5; call += 1) {
            codes.push(await getCode(client.query({})));
        }
        expect(codes).to.deep.equal([undefined, undefined, undefined, Code.ResourceExhausted, Code.ResourceExhausted]);
        expect(refusals.length).to.equal(2);
        await clock.runUntil(() => false, 100);
        expect(await getCode(client.query({}))).to.equal(undefined);
        expect(await getCode(client.query({}))).to.equal(Code.ResourceExhausted);
    });

    it("refuse messages beyond the maximum size", async () => {
        const server = await startInternalServer(
            { address: "127.0.0.1", port: 0 },
            router => router.service(ControlService, { query: () => ({ index: 1n }) }),
        );
        const transports = createPeerTransports();
        const client = createClient(ControlService, transports.getTransport(server.address));
        const argument = "a".repeat(getServiceLimits(ControlService).maximumMessageBytes + 1);
        expect(await getCode(client.query({ argument }))).to.equal(Code.ResourceExhausted);
        expect(await getCode(client.query({ argument: "a" }))).to.equal(undefined);
        await transports.stop();
        await server.stop();
    });
});

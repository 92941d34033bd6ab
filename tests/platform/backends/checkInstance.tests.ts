import { expect } from "chai";
import * as fc from "fast-check";
import { createServer, IncomingMessage, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { checkInstance } from "../../../platform/backends";
import { InstanceState } from "../../../src/crashQuarantine";
import { testServices } from "../../crashQuarantine/testServices";
import { createTestInstance } from "../../feed/createTestFeed";

describe("checkInstance", () => {
    let server: Server;
    let status = 200;
    let answeredBy: string | undefined;
    let requests: IncomingMessage[] = [];

    beforeEach(async () => {
        requests = [];
        answeredBy = undefined;
        server = createServer((request, response) => {
            requests.push(request);
            response.writeHead(status, answeredBy === undefined ? {} : { "Basilwing-Instance-Id": answeredBy }).end();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => server.close());

    function check(kind: "engine" | "plain") {
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const instance = createTestInstance({ instanceId: "server-1", address });
        return checkInstance(instance, testServices[kind], new AbortController().signal);
    }

    async function doTest(
        kind: "engine" | "plain",
        answered: number,
        expected: InstanceState,
        answeringId?: string,
    ): Promise<void> {
        status = answered;
        answeredBy = answeringId;
        expect(await check(kind)).to.equal(expected);
    }

    it("takes an answer of a plain server for a sign of life", () => doTest("plain", 200, InstanceState.Serving));
    it("takes the refusal of a plain server for a sign of life", () => doTest("plain", 503, InstanceState.Serving));
    it("finds another plain server at the address", () => doTest("plain", 421, InstanceState.Ended));
    it("finds another engine at the address", () => doTest("engine", 421, InstanceState.Ended));

    it("finds another plain server at the address, which names itself", () =>
        doTest("plain", 421, InstanceState.Ended, "server-2"));
    it("takes the refusal of a plain server in its own name for a sign of life", () =>
        doTest("plain", 421, InstanceState.Serving, "server-1"));
    it("takes the refusal of an engine in its own name for a sign of life", () =>
        doTest("engine", 421, InstanceState.Serving, "server-1"));

    it("names the instance in a call of the health check", async () => {
        await doTest("plain", 200, InstanceState.Serving);
        expect(requests.map(({ url, headers }) => [url, headers["basilwing-expect-instance"]]))
            .to.deep.equal([["/health", "server-1"]]);
    });

    describe("with a health path that can't stand behind an address", () => {
        async function checkPath(healthPath: string): Promise<InstanceState> {
            status = 200;
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            const service = { ...testServices.plain, healthPath };
            return checkInstance(createTestInstance({ address }), service, new AbortController().signal);
        }

        function doPathTest(healthPath: string, expectedPath: string) {
            it(`finds a sound server where it is ${JSON.stringify(healthPath.slice(0, 20))}`, async () => {
                const state = await checkPath(healthPath);
                expect([state, requests.map(({ url }) => url)]).to.deep.equal([InstanceState.Serving, [expectedPath]]);
            });
        }

        doPathTest("health", "/health");
        doPathTest("*", "/*");
        doPathTest(":99999/health", "/:99999/health");
        doPathTest("@127.0.0.9/health", "/@127.0.0.9/health");
        doPathTest("?deep", "/?deep");
        doPathTest("", "/");
        doPathTest("/a b", "/a%20b");
        doPathTest("/gesünd", "/ges%C3%BCnd");
        doPathTest("/a\r\nHost: b", "/aHost:%20b");

        it("takes a server for sound that refuses a very long path", async () =>
            expect(await checkPath(`/${"a".repeat(100_000)}`)).to.equal(InstanceState.Serving));

        it("finds a sound server at any path", () =>
            fc.assert(
                fc.asyncProperty(fc.string({ unit: "binary", maxLength: 20 }), async healthPath => {
                    expect(await checkPath(healthPath)).to.equal(InstanceState.Serving);
                }),
                { seed: 4, numRuns: 100 },
            ));
    });

    it("tells a refused connection, at which nothing listens, from another instance", async () => {
        const { port } = server.address() as AddressInfo;
        await new Promise(resolve => server.close(resolve));
        const instance = createTestInstance({ address: `127.0.0.1:${port}` });
        const state = await checkInstance(instance, testServices.plain, new AbortController().signal);
        expect(state).to.equal(InstanceState.Refusing);
    });
});

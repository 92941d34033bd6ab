import { expect } from "chai";
import * as fc from "fast-check";
import { decodeDocument } from "../../../platform/operators";
import { QuotaUnit, RouteKind, WorkspaceQuota } from "../../../src/documents";

describe("decodeDocument", () => {
    const route = {
        name: "r-1",
        host: "one.example",
        path_prefix: "/reads/",
        kind: "safe",
        timeout_ms: 1_500,
        target_latency_ms: 400,
        priority: 2,
        service: "actions",
        max_attempts: 2,
        public: false,
        sticky: true,
        resumable: false,
    };
    const file = {
        version: 7,
        routes: [route],
        services: [{ name: "actions", health_path: "/health", max_connections: 96, protocol: "h1", tls: false }],
        limits: { max_header_bytes: 16_384 },
        tenants: [{ name: "alpha", api_keys: ["alpha-key"], priority: 1, isolated: true }],
    };

    function getProblem(changed: object): string | undefined {
        const outcome = decodeDocument(Buffer.from(JSON.stringify({ ...file, ...changed })));
        return outcome.kind === "invalid" ? outcome.problem : undefined;
    }

    it("decodes a document", () => {
        const outcome = decodeDocument(Buffer.from(JSON.stringify(file)));
        const document = outcome.kind === "decoded" ? outcome.document : undefined;
        expect(document?.routes[0]).to.deep.include({
            kind: RouteKind.Idempotent,
            timeoutMilliseconds: 1_500,
            maximumAttempts: 2,
            services: [{ service: "actions", weight: 1 }],
        });
        expect(document?.services).to.deep.equal([
            { kind: "plain", name: "actions", healthPath: "/health", maximumConnections: 96 },
        ]);
        expect(document?.workspaces).to.deep.equal([
            { name: "alpha", apiKeys: ["alpha-key"], priority: 1, isIsolated: true, quota: undefined },
        ]);
    });

    describe("the quota of a workspace", () => {
        function doTest(fields: object, expected: WorkspaceQuota | undefined) {
            const tenants = [{ name: "alpha", api_keys: ["alpha-key"], ...fields }];
            const outcome = decodeDocument(Buffer.from(JSON.stringify({ ...file, tenants })));
            expect(outcome.kind === "decoded" && outcome.document.workspaces?.[0]?.quota).to.deep.equal(expected);
        }

        it("counts tokens", () =>
            doTest(
                { unit: "tokens", uncached_tokens: 200, rate_per_s: 355_710, burst: 36_000.5 },
                { unit: QuotaUnit.Tokens, defaultRequestTokens: 200, amountPerSecond: 355_710, burst: 36_000.5 },
            ));
        ["request", undefined].forEach(unit =>
            it(`counts requests where the unit is ${unit}`, () =>
                doTest(
                    { unit, rate_per_s: 5, burst: 10 },
                    { unit: QuotaUnit.Requests, defaultRequestTokens: 0, amountPerSecond: 5, burst: 10 },
                ))
        );
        [{}, { rate_per_s: 0, burst: 5 }, { rate_per_s: 5, burst: 0 }, { rate_per_s: 5 }].forEach(fields =>
            it(`is none with ${JSON.stringify(fields)}`, () => doTest(fields, undefined))
        );
    });

    describe("the reported problem", () => {
        function doTest(changed: object, expected: string) {
            expect(getProblem(changed)).to.equal(expected);
        }

        it("contains the path of an invalid value", () =>
            doTest({ routes: [{ ...route, timeout_ms: "soon" }] }, "document/routes/0/timeout_ms must be number"));
        [{ rate_per_s: -1 }, { burst: "5" }, { unit: "bytes" }, { uncached_tokens: -1 }, { rate_per_s: 1e308 }, {
            burst: 1e308,
        }, {
            uncached_tokens: 1e13,
        }].forEach(fields =>
            it(`contains the path of ${JSON.stringify(fields)}`, () =>
                expect(getProblem({ tenants: [{ name: "alpha", api_keys: [], ...fields }] }))
                    .to.match(new RegExp(`^document/tenants/0/${Object.keys(fields)[0]} `)))
        );
        it("names a missing property", () =>
            doTest({ limits: undefined }, "document must have required property 'limits'"));
        it("names an unknown service", () =>
            doTest({ routes: [{ ...route, service: "nowhere" }] }, "route r-1: there is no service nowhere"));
        it("names a route with a timeout of 0", () =>
            doTest({ routes: [{ ...route, timeout_ms: 0 }] }, "route r-1: its timeout must be above 0"));
        it("names a version that isn't an integer", () => doTest({ version: 1.5 }, "document/version must be integer"));
    });

    it("accepts unknown fields", () => expect(getProblem({ coming: 1 })).to.equal(undefined));

    it("accepts any text as a health path, also an empty one", () =>
        ["", " ", "health", "/gesünd"].forEach(healthPath =>
            expect(getProblem({ services: [{ ...file.services[0], health_path: healthPath }] })).to.equal(undefined)
        ));

    it("rejects a truncated document", () => {
        const text = JSON.stringify(file);
        fc.assert(
            fc.property(fc.integer({ min: 0, max: text.length - 1 }), length => {
                expect(decodeDocument(Buffer.from(text.slice(0, length))).kind).to.equal("invalid");
            }),
            { seed: 2, numRuns: 200 },
        );
    });
});

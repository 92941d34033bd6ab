import { expect } from "chai";
import { getNarrowQuotas } from "../../../platform/operators";
import { QuotaUnit, WorkspaceQuota } from "../../../src/documents";
import { createTestDocument } from "../../documents/createTestDocument";

describe("getNarrowQuotas", () => {
    const quota: WorkspaceQuota = {
        unit: QuotaUnit.Tokens,
        amountPerSecond: 1_000,
        burst: 2_000,
        defaultRequestTokens: 200,
    };

    /** The tolerance is 10,000 a tenth of overshoot; a share of 0.3 is for large requests. */
    function doTest(changes: Partial<WorkspaceQuota>, overshoot: number, expected: number | undefined) {
        const workspace = {
            name: "alpha",
            apiKeys: [],
            priority: 1,
            isIsolated: false,
            quota: { ...quota, ...changes },
        };
        const bounds = { windowMilliseconds: 8_000, overshoot, slack: 0 };
        const [narrow] = getNarrowQuotas(createTestDocument({ workspaces: [workspace] }), bounds);
        expect(narrow?.largestRequest).to.equal(expected);
    }

    it("finds none where requests above the burst are admitted", () => doTest({}, 0.1, undefined));
    it("finds one in tokens whose bound has no tolerance", () => doTest({}, 0, 2_000));
    it("finds one that can't admit a request without a stated amount", () =>
        doTest({ defaultRequestTokens: 2_301 }, 0.1, 2_300));
    it("finds one that can't admit any request", () => doTest({ unit: QuotaUnit.Requests, burst: 0.5 }, 0, 0.5));
    it("finds none in requests whose burst is one request", () =>
        doTest({ unit: QuotaUnit.Requests, burst: 1 }, 0, undefined));
});

/*
 * Tests the codes of failed streams, as those of the library's transport.
 */
import { Code, ConnectError } from "@connectrpc/connect";
import { expect } from "chai";
import { getStreamError } from "../../src/protocol/getStreamError";

describe("getStreamError", () => {
    const createError = (code: string, cause?: Error) => Object.assign(new Error("failed", { cause }), { code });

    function doTest(reason: unknown, expected: Code): void {
        const error = getStreamError(reason);
        expect(error.code).to.equal(expected);
        expect(error.cause).to.equal(reason);
    }

    it("gives Unavailable where no connection came about", () => doTest(createError("ECONNREFUSED"), Code.Unavailable));

    it("gives Aborted where a connection was reset", () => doTest(createError("ECONNRESET"), Code.Aborted));

    it("gives Internal for other errors", () => doTest(createError("ERR_HTTP2_STREAM_ERROR"), Code.Internal));

    it("looks at the causes of an error", () =>
        doTest(createError("OTHER", createError("ECONNREFUSED")), Code.Unavailable));

    it("ends at a cause that refers to itself", () => {
        const error = createError("OTHER");
        error.cause = error;
        doTest(error, Code.Internal);
    });

    it("keeps an error of the library", () => {
        const error = new ConnectError("no", Code.DataLoss);
        expect(getStreamError(error)).to.equal(error);
    });
});

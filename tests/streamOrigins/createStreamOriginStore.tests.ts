import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { StreamOrigin, StreamOriginSchema } from "../../src/protocol";
import { createStreamOriginStore } from "../../src/streamOrigins";
import { createManualClock } from "../support/createManualClock";

describe("createStreamOriginStore", () => {
    function createOrigin(requestId: string, softwareVersion: string, attemptNumber = 1): StreamOrigin {
        return create(StreamOriginSchema, { requestId, softwareVersion, attemptNumber, lifetimeMilliseconds: 1_000 });
    }

    function createTrial(maximumCount?: number) {
        const clock = createManualClock();
        const store = createStreamOriginStore(clock, maximumCount);
        return { clock, store, getVersion: (requestId: string) => store.get(requestId)?.softwareVersion };
    }

    it("gets an origin until its lifetime ends", async () => {
        const { clock, store, getVersion } = createTrial();
        store.add(createOrigin("request-1", "v1"));
        await clock.advance(999);
        expect(getVersion("request-1")).to.equal("v1");
        await clock.advance(1);
        expect(getVersion("request-1")).to.equal(undefined);
    });
    it("replaces the origin of an attempt by that of a later one only", () => {
        const { store, getVersion } = createTrial();
        store.add(createOrigin("request-1", "v2", 2));
        store.add(createOrigin("request-1", "v1", 1));
        expect(getVersion("request-1")).to.equal("v2");
        store.add(createOrigin("request-1", "v3", 3));
        expect(getVersion("request-1")).to.equal("v3");
    });
    it("drops the oldest origins beyond its bound", () => {
        const { store, getVersion } = createTrial(2);
        ["request-1", "request-2", "request-3"].forEach(requestId => store.add(createOrigin(requestId, "v1")));
        expect([getVersion("request-1"), getVersion("request-2"), getVersion("request-3")])
            .to.deep.equal([undefined, "v1", "v1"]);
    });
    it("gets all origins with what is left of their lifetimes", async () => {
        const { clock, store } = createTrial();
        store.add(createOrigin("request-1", "v1"));
        await clock.advance(400);
        expect(store.getAll().map(({ requestId, lifetimeMilliseconds }) => [requestId, lifetimeMilliseconds]))
            .to.deep.equal([["request-1", 600]]);
        await clock.advance(600);
        expect(store.getAll()).to.deep.equal([]);
    });
    it("removes expired origins when others are added", async () => {
        const { clock, store } = createTrial();
        store.add(createOrigin("request-1", "v1"));
        await clock.advance(1_000);
        store.add(createOrigin("request-2", "v1"));
        expect(store.getCount()).to.equal(1);
    });
});

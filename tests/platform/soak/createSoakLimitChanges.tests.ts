import { expect } from "chai";
import { createRandomSource } from "../../../src/runtime";
import { createSoakLimitChanges } from "./createSoakLimitChanges";

describe("createSoakLimitChanges", () => {
    it("repeats the first limits without a random source", () => {
        const changes = createSoakLimitChanges(undefined);
        expect([changes.choose(), changes.choose()]).to.deep.equal([changes.choose(), changes.choose()]);
    });

    it("changes each limit, and begins with the first ones", () => {
        const changes = createSoakLimitChanges(createRandomSource(1));
        const first = createSoakLimitChanges(undefined).choose();
        expect(changes.choose()).to.deep.equal(first);
        const later = Array.from({ length: 40 }, () => changes.choose());
        expect(new Set(later.map(({ idleTimeoutMilliseconds }) => idleTimeoutMilliseconds)).size).to.equal(7);
        expect(new Set(later.map(({ maximumBodyBytes }) => maximumBodyBytes)).size).to.equal(3);
        expect(new Set(later.map(({ headerTimeoutMilliseconds }) => headerTimeoutMilliseconds)).size).to.equal(3);
    });

    it("takes each document that was sent for one that may be in force, and earlier ones for a while", () => {
        const changes = createSoakLimitChanges(createRandomSource(2));
        const documents = Array.from({ length: 8 }, () => changes.choose());
        const getShortest = (from: number) =>
            Math.min(...documents.slice(from).map(({ routeTimeouts }) => routeTimeouts["/read/"]!));
        const now = Date.now();
        expect(changes.getShortestTimeoutMilliseconds("/read/", now)).to.equal(getShortest(0));
        changes.recordAcknowledgement(documents[6]!);
        expect(changes.getIdleTimeoutMilliseconds()).to.equal(documents[6]!.idleTimeoutMilliseconds);
        expect(changes.getAcknowledgementCount(now)).to.equal(1);
        expect(changes.getShortestTimeoutMilliseconds("/read/", now)).to.equal(getShortest(0));
        expect(changes.getShortestTimeoutMilliseconds("/read/", now + 3_600_000)).to.equal(getShortest(6));
    });
});

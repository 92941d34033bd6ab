import { expect } from "chai";
import { createOwnRecord } from "../../src/membership/createOwnRecord";
import { ProcessRole, ProcessState } from "../../src/protocol";
import { createTestRecord } from "./createTestRecord";
import { createVirtualTime } from "./createVirtualTime";

describe("createOwnRecord", () => {
    function createRecord() {
        const identity = {
            instanceId: "a",
            incarnation: "5",
            role: ProcessRole.COMPANION,
            address: "a:1",
            dataCentre: "x",
            region: "y",
        };
        return createOwnRecord(identity, createVirtualTime().createClock());
    }

    it("counts changes, and only those", () => {
        const record = createRecord();
        const { recordNumber } = record.get();
        expect(record.update({ state: ProcessState.READY, adapters: ["x"] })).to.equal(true);
        expect(record.update({ state: ProcessState.READY, adapters: ["x"] })).to.equal(false);
        expect(record.get().recordNumber).to.equal(recordNumber + 1n);
    });

    it("takes leaving back for nothing", () => {
        const record = createRecord();
        record.update({ state: ProcessState.LEAVING });
        record.update({ state: ProcessState.READY });
        expect(record.get().state).to.equal(ProcessState.LEAVING);
    });

    it("goes beyond the number of a former run whose clock was ahead", () => {
        const record = createRecord();
        const known = createTestRecord("a", { incarnation: "9", recordNumber: record.get().recordNumber + 1_000n });
        expect(record.reconcile(known)).to.deep.equal({ hasChanged: true, isLeavingRequested: false });
        expect(record.get().recordNumber).to.equal(known.recordNumber + 1n);
    });

    it("contradicts that it is lost", () => {
        const record = createRecord();
        record.update({ state: ProcessState.READY });
        const { recordNumber } = record.get();
        record.reconcile(
            createTestRecord("a", { ...record.get(), state: ProcessState.LOST, recordNumber: recordNumber + 1n }),
        );
        expect(record.get().state).to.equal(ProcessState.READY);
        expect(record.get().recordNumber).to.equal(recordNumber + 2n);
    });

    it("leaves where the platform takes it away", () => {
        const record = createRecord();
        const answer = record.reconcile(createTestRecord("a", { ...record.get(), state: ProcessState.LEAVING }));
        expect(answer.isLeavingRequested).to.equal(true);
        expect(record.get().state).to.equal(ProcessState.LEAVING);
    });

    it("has nothing to say to its own newest record", () => {
        const record = createRecord();
        expect(record.reconcile(record.get()).hasChanged).to.equal(false);
    });
});

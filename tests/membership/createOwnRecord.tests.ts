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

    it("increases the number with each actual change", () => {
        const record = createRecord();
        const { recordNumber } = record.get();
        expect(record.update({ state: ProcessState.READY, adapters: ["x"] })).to.equal(true);
        expect(record.update({ state: ProcessState.READY, adapters: ["x"] })).to.equal(false);
        expect(record.get().recordNumber).to.equal(recordNumber + 1n);
    });

    it("doesn't return from leaving to ready", () => {
        const record = createRecord();
        record.update({ state: ProcessState.LEAVING });
        record.update({ state: ProcessState.READY });
        expect(record.get().state).to.equal(ProcessState.LEAVING);
    });

    it("exceeds the number of a previous run whose clock was ahead", () => {
        const record = createRecord();
        const heldRecord = createTestRecord("a", {
            incarnation: "9",
            recordNumber: record.get().recordNumber + 1_000n,
        });
        expect(record.reconcile(heldRecord)).to.deep.equal({ hasChanged: true, isLeavingRequested: false });
        expect(record.get().recordNumber).to.equal(heldRecord.recordNumber + 1n);
    });

    it("refutes a record that has it as lost", () => {
        const record = createRecord();
        record.update({ state: ProcessState.READY });
        const { recordNumber } = record.get();
        record.reconcile(
            createTestRecord("a", { ...record.get(), state: ProcessState.LOST, recordNumber: recordNumber + 1n }),
        );
        expect(record.get().state).to.equal(ProcessState.READY);
        expect(record.get().recordNumber).to.equal(recordNumber + 2n);
    });

    it("starts to leave when a control member has it as leaving", () => {
        const record = createRecord();
        const result = record.reconcile(createTestRecord("a", { ...record.get(), state: ProcessState.LEAVING }));
        expect(result.isLeavingRequested).to.equal(true);
        expect(record.get().state).to.equal(ProcessState.LEAVING);
    });

    it("doesn't change when the control member holds its newest record", () => {
        const record = createRecord();
        expect(record.reconcile(record.get()).hasChanged).to.equal(false);
    });
});

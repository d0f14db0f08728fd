package io.hornbeamfield.core.search;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.BudgetUpdate;
import io.hornbeamfield.core.budget.BudgetUpdate.Kind;
import io.hornbeamfield.core.budget.HolderEntry;
import io.hornbeamfield.core.budget.TransferGrant;
import io.hornbeamfield.core.identity.RequestKey;
import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.LedgerRecord;
import io.hornbeamfield.core.ledger.LedgerRecord.Bill;
import io.hornbeamfield.core.ledger.LedgerWriteResult;
import io.hornbeamfield.core.ledger.LedgerWriter;
import io.hornbeamfield.core.ledger.TakeoverStep;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Tests that the search can fail: it must detect a faulty variant of each mechanism. */
class FaultyMechanismsTest {
    private static final long SCHEDULES = 200_000;

    private static void assertFound(String expected, Supplier<Mechanisms> faulty) {
        assertFound(expected, Schedule.everything(faulty));
    }

    private static void assertFound(String expected, Schedule schedule) {
        var found = schedule.search(SCHEDULES, 150);
        System.out.println("faulty variant \"" + expected + "\": "
                + found.map(Object::toString).orElse("not found"));
        assertThat(found).isPresent();
        assertThat(found.get().message()).contains(expected);
    }

    @Test
    void creditingATakeBeforeItIsConfirmedIsFound() {
        assertFound("credited an unconfirmed take", () -> new Mechanisms() {
            @Override
            void sent(Allotment allotment, BudgetUpdate update, long version) {
                if (update.kind() == Kind.TAKE) {
                    allotment.observe(update.record(), version);
                }
            }
        });
    }

    @Test
    void returningBeforeTheDebitIsFound() {
        assertFound("returned without a debit", () -> new Mechanisms() {
            @Override
            Optional<BudgetUpdate> planReturn(Allotment allotment, String self, BudgetRecord seen, long tokens) {
                HolderEntry own = allotment.counters();
                HolderEntry stored = seen.holder(self);
                long amount = Math.min(tokens, allotment.available());
                if (amount <= 0 || !own.isAtLeast(stored)) {
                    return Optional.empty();
                }
                var entry = new HolderEntry(
                        stored.taken(), own.returned() + amount, own.spent(), own.sentOut(), own.receivedIn());
                return Optional.of(new BudgetUpdate(Kind.RETURN, amount, seen.withHolder(self, entry)));
            }

            @Override
            void returned(Allotment allotment, BudgetUpdate update) {
                allotment.planReturn(update.record(), update.tokens());
            }
        });
    }

    @Test
    void creditingARepeatedGrantIsFound() {
        assertFound("tokens exist of", () -> new Mechanisms() {
            @Override
            boolean receive(Allotment allotment, TransferGrant grant) {
                allotment.expectTransfer(grant.transferId());
                return allotment.receiveTransfer(grant);
            }
        });
    }

    @Test
    void foldingWithoutAnEntryIsFound() {
        assertFound("tokens exist of", () -> new Mechanisms() {
            @Override
            Optional<BudgetUpdate> planClose(Allotment allotment, String self, BudgetRecord seen) {
                Optional<BudgetUpdate> update = allotment.planClose(seen);
                if (update.isPresent() && update.get().kind() == Kind.CHECKPOINT) {
                    BudgetRecord folded = seen.withFolded(self, allotment.counters());
                    return Optional.of(new BudgetUpdate(Kind.CLOSE, 0, folded));
                }
                return update;
            }
        });
    }

    @Test
    void releasingTokensThatTheDeadRouterHadSentToOthersIsFound() {
        assertFound("tokens exist of", () -> new Mechanisms() {
            @Override
            long released(HolderEntry real, HolderEntry recorded) {
                return real.spent();
            }
        });
    }

    @Test
    void ignoringATakeoverOnALedgerConflictIsFound() {
        assertFound("has 2 bills", Schedule.billing(() -> new Mechanisms() {
            @Override
            LedgerWriteResult conflict(LedgerWriter writer, LedgerBatch stored) {
                return writer.onConflict(new LedgerBatch(stored.writer(), stored.batch(), List.of()));
            }
        }));
    }

    @Test
    void writingABatchAgainUnderANewIdAfterALostAnswerIsFound() {
        assertFound("has 2 bills", Schedule.billing(() -> new Mechanisms() {
            @Override
            LedgerWriteResult conflict(LedgerWriter writer, LedgerBatch stored) {
                return writer.onConflict(new LedgerBatch(stored.writer(), "another", stored.records()));
            }
        }));
    }

    @Test
    void forgettingTakeoversOfRequestsThatFinishLaterIsFound() {
        assertFound("has 2 bills", Schedule.billing(() -> new Mechanisms() {
            @Override
            LedgerWriteResult conflict(LedgerWriter writer, LedgerBatch stored) {
                List<LedgerRecord> known = new ArrayList<>();
                if (writer.pending() > 1) {
                    known.addAll(stored.records());
                }
                return writer.onConflict(new LedgerBatch(stored.writer(), stored.batch(), known));
            }
        }));
    }

    @Test
    void billingWithoutATakeoverIsFound() {
        assertFound("has 2 bills", Schedule.billing(() -> new Mechanisms() {
            @Override
            boolean takesOverBeforeBilling() {
                return false;
            }
        }));
    }

    @Test
    void notFollowingUpABillThatWasTakenOverIsFound() {
        assertFound("has 0 bills", Schedule.billing(() -> new Mechanisms() {
            @Override
            boolean followsUpDroppedBills() {
                return false;
            }
        }));
    }

    @Test
    void takingARequestBackWithoutItsPlaceInTheOwnLedgerIsFound() {
        assertFound("bills", Schedule.billing(() -> new Mechanisms() {
            @Override
            boolean billTakenOver(LedgerWriter writer, Bill bill, TakeoverStep.Granted grant) {
                return writer.addTakenOver(bill, new TakeoverStep.Granted(0));
            }
        }));
    }

    @Test
    void forgettingRefusedKeysIsFound() {
        assertFound("refused as not run", () -> new Mechanisms() {
            @Override
            String scope(RequestKey key, int earlierRefusals) {
                return "w" + earlierRefusals;
            }
        });
    }
}

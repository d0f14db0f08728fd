package io.hornbeamfield.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a connection whose many small parts occupy the thread that all connections share. */
final class ReadSizeTest {
    private final ReadSize size = new ReadSize();

    private int partsOfNextRead(int bytesPerPart) {
        int read = size.bytes();
        int parts = read / bytesPerPart;
        for (int i = 0; i < parts; i++) {
            size.partHandled();
        }
        size.readHandled(read);
        return parts;
    }

    @Test
    void inputInSmallPartsIsReadInSmallPieces() {
        assertThat(partsOfNextRead(6)).isLessThan(1_000);
        assertThat(partsOfNextRead(6)).isLessThanOrEqualTo(64);
        assertThat(partsOfNextRead(6)).isLessThanOrEqualTo(64);
    }

    @Test
    void theSmallestReadIsBounded() {
        for (int i = 0; i < 10; i++) {
            partsOfNextRead(1);
        }
        assertThat(size.bytes()).isEqualTo(ReadSize.MIN_BYTES);
    }

    @Test
    void inputInLargePartsIsReadInLargePieces() {
        for (int i = 0; i < 10; i++) {
            partsOfNextRead(4 * 1024);
        }
        assertThat(size.bytes()).isEqualTo(ReadSize.MAX_BYTES);
    }

    @Test
    void theSizeRecoversAfterSmallParts() {
        partsOfNextRead(6);
        for (int i = 0; i < 20; i++) {
            partsOfNextRead(1_024);
        }
        assertThat(size.bytes()).isEqualTo(ReadSize.MAX_BYTES);
    }

    @Test
    void shortReadsLeaveTheSizeUnchanged() {
        int before = size.bytes();
        size.partHandled();
        size.readHandled(100);
        assertThat(size.bytes()).isEqualTo(before);
    }
}

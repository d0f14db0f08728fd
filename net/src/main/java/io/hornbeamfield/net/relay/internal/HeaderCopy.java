package io.hornbeamfield.net.relay.internal;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.hornbeamfield.net.relay.Header;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * Copies headers out of messages, whose buffers Grizzly uses again, and into them. A value is opaque (RFC 9110, section
 * 5.5): each of its characters stands for one byte.
 */
final class HeaderCopy {
    private static final int FIRST_NON_ASCII = 0x80;

    private HeaderCopy() {}

    static List<Header> of(MimeHeaders from) {
        List<Header> list = new ArrayList<>(from.size());
        for (int i = 0; i < from.size(); i++) {
            list.add(new Header(from.getName(i).toString(), from.getValue(i).toString(ISO_8859_1)));
        }
        return list;
    }

    /** Adds a header. Grizzly would replace the characters of a text that are not ASCII by spaces. */
    static void add(Header header, HttpHeader to) {
        if (isAscii(header.value())) {
            to.addHeader(header.name(), header.value());
        } else {
            to.getHeaders().addValue(header.name()).setBytes(header.value().getBytes(ISO_8859_1));
        }
    }

    static boolean isAscii(String text) {
        return text.chars().allMatch(c -> c < FIRST_NON_ASCII);
    }
}

package io.hornbeamfield.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** What a caller sees of a response: its head, the number of bytes of its body, and their last ones. */
record ResponseEnd(String head, long bodyBytes, String tail) {
    static ResponseEnd of(InputStream in) throws IOException {
        ByteArrayOutputStream start = new ByteArrayOutputStream();
        long size = 0;
        String tail = "";
        byte[] buffer = new byte[8 * 1024];
        try {
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                size += n;
                if (start.size() < buffer.length) {
                    start.write(buffer, 0, n);
                }
                String text = tail + new String(buffer, 0, n, StandardCharsets.ISO_8859_1);
                tail = text.substring(Math.max(0, text.length() - 7));
            }
        } catch (IOException e) {
            tail = "[reset]";
        }
        String text = start.toString(StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        String head = end < 0 ? "" : text.substring(0, end);
        return new ResponseEnd(head, end < 0 ? 0 : size - end - 4, tail);
    }

    int status() {
        return head.isEmpty() ? 0 : Integer.parseInt(head.split(" ")[1]);
    }

    boolean looksComplete() {
        String length = RawServer.header(head, "Content-Length");
        boolean whole = length.isEmpty() ? tail.endsWith("\r\n0\r\n\r\n") : Long.parseLong(length) == bodyBytes;
        return status() / 100 == 2 && whole;
    }
}

import random
import unittest

from kumquatspur.policy.records_merge import greatest_records


def record(number):
    return number.to_bytes(16, "big")


class RecordsMergeTest(unittest.TestCase):
    def test_greatest_records_of_all_parts(self):
        numbers = list(range(200))
        random.Random(3).shuffle(numbers)
        parts = [
            b"".join(record(number) for number in numbers[at::4])
            for at in range(4)
        ]
        expected = b"".join(record(number) for number in range(199, 189, -1))
        self.assertEqual(greatest_records(parts, 10), expected)

    def test_equal_records_all_count(self):
        parts = [record(5), record(5) + record(1)]
        self.assertEqual(greatest_records(parts, 2), record(5) * 2)

    def test_shorter_remainder_is_no_record(self):
        self.assertEqual(
            greatest_records([record(5) + b"\xff" * 15], 9), record(5)
        )

    def test_empty_parts(self):
        self.assertEqual(greatest_records([b"", b""], 5), b"")


if __name__ == "__main__":
    unittest.main()
